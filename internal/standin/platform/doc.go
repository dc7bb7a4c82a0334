// Package platform is a stand-in for the platform's configuration service, for tests, measurements and the example fleet.
// It speaks the protocol that internal/platform reads, keeps everything in memory and can be told to fail.
//
// Readers:
//
//	GET /v1/value?name=N              content, with its revision in the header Revision
//	GET /v1/changes?after=R&wait=25s  {"revision":R2,"changed":[{"name":N,"revision":R1}]}; waits for a change after R
//	GET /v1/vms                       {"revision":R,"vms":[{"id":I,"state":"live"|"leaving"}]}
//
// Operators and test scripts:
//
//	PUT  /v1/value?name=N[&if-revision=R]  stores a value; 409 when its revision is not R
//	PUT  /v1/vms                           replaces the list, same JSON as GET
//	POST /v1/reload                        loads the directory again
//	POST /v1/restore?revision=R            goes back to revision R, as after a restore from a backup
//	PUT  /v1/fault?mode=M                  none, down, stale[&revision=R], slow&delay=D, error[&every=N]
//	GET  /v1/stats                         {"value":n,"changes":n,"vms":n,"refused":n}
package platform
