// Package platform reads the platform's configuration service and its list of VMs. It never writes to them.
package platform
