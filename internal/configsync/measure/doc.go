// Package measure runs the configuration propagation of many daemons in one process, over loopback
// sockets. It measures the time until a change is in force at all daemons, the bytes on the
// sockets, the calls to the platform and the processor time.
package measure
