// Package measure runs a fleet of configuration runners over loopback sockets in one process and measures the time until a
// change is in force everywhere, bytes on the sockets, calls to the platform and processor time.
package measure
