// Package runstate decides what a caller may be told about whether its request has run.
//
// Callers conclude from some statuses that a request has not run and never will, and send it again. So
// such a status is passed on only for a refusal of a daemon, or of a backend server that states that it
// did not run the request. Convention.Check applies this to the response of a backend server at its home, Convention.CheckRelayed to
// what a home passes on to an entry, and Reported to an error that another daemon reports.
package runstate
