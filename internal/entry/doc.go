// Package entry implements the callers' side of a daemon. It accepts requests, identifies the
// customer, applies the contract, chooses a backend server and forwards the request to the home
// daemon of that backend server, the daemon on its VM.
//
// The daemon that accepts a request is the entry of the request. The path is the network connection
// from the entry to a home daemon. A try is one attempt to get a response from one backend server.
// A request may have several tries, within the retry budget of its customer and its deadline.
//
// Requests on an at-most-once route carry an operation key. Only the daemon that issued the key,
// its owner, runs the operation. Other entries send the request to the owner.
package entry
