// Package platform is a client of the platform's HTTP API. It reads the values of the configuration
// service and the list of VMs, and never writes to them.
package platform
