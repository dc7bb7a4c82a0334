// Package runstate decides what a caller may be told about whether its request has run.
//
// Callers conclude from some statuses that a request has not run and never will, and send it again. So
// such a status is passed on only for a refusal of a daemon, or of a backend server that states that it
// did not run the request.
//
//   - Convention.Check applies this to the response of a backend server at its home.
//   - Convention.CheckRelayed applies it to what a home passes on to an entry.
//   - Reported applies it to an error that another daemon reports.
//   - Tries applies it to a request that was tried several times.
//
// The table of package errkind gives these statuses to errors with the outcome NotRun only.
package runstate
