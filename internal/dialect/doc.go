// Package dialect defines how callers and backend servers of one deployment use HTTP: which headers
// carry the request id and the remaining time, how a backend server states that it did not run a
// request, and how a response proves to be complete and to belong to its request.
//
// The request path uses a Dialect and knows no header names of a deployment. Cowslip is the dialect
// of this product. The adapter of another deployment supplies its own.
package dialect
