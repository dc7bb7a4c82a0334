// Package platform is an in-memory stand-in for the platform's configuration service. Tests,
// measurements and the example fleet use it. It serves the HTTP API that the client in
// internal/platform reads, and it injects faults into that API on request.
//
// Reader API, called by daemons:
//
//	GET /v1/value?name=N
//	    returns the content of a value, and its revision in the header Revision
//	GET /v1/changes?after=R&wait=25s
//	    long poll; answers at the first change after revision R, or when the wait is over:
//	    {"revision":R2,"changed":[{"name":N,"revision":R1}]}
//	GET /v1/vms
//	    returns the list of VMs: {"revision":R,"vms":[{"id":I,"state":"live"|"leaving"}]}
//
// Operator API, called by operators and test scripts; faults do not affect it:
//
//	PUT  /v1/value?name=N[&if-revision=R]  stores a value; 409 if its revision is not R
//	PUT  /v1/vms                           replaces the list of VMs, same JSON as GET
//	POST /v1/reload                        loads the directory of values again
//	POST /v1/restore?revision=R            rolls back to revision R, as a restored backup does
//	PUT  /v1/fault?mode=M                  injects a fault; M with its parameters is one of none,
//	                                       down, stale[&revision=R], slow&delay=D, error[&every=N]
//	GET  /v1/stats                         {"value":n,"changes":n,"vms":n,"refused":n}
package platform
