// Package entry accepts callers' requests, identifies the customer, applies the contract, chooses a backend server and forwards
// the request to that backend server's home daemon.
package entry
