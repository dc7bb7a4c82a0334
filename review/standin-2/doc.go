// Command standin-2 runs the script cases of the second review. One process holds the stand-ins of the
// platform's store, the upstreams and the clients; the daemons are separate processes, started as the
// deploy file says.
package main
