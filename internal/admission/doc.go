// Package admission decides whose request a busy service does first, who waits and where, and when
// a refused caller should come back. It makes decisions only: it does no I/O, starts no goroutine and
// gets the time as an argument.
//
// Queue orders the requests that wait for the slots of one backend server. It belongs to the home
// daemon, which sees every request to the server. Plan belongs to one request at its entry: it
// decides from the refusals of homes which home the request waits at, whether it may go to a server
// that seems to fail, and when it is refused.
package admission
