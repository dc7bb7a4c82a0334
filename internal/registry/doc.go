// Package registry holds the configuration of a deployment in which backend servers register
// themselves in a store. The operator publishes all routes there as one value, instead of
// configuration documents.
//
// A Reader reads the changes from a Store. A Table keeps the latest state of each key and ignores
// changes with an older revision. Build turns the table into a catalog.Snapshot, so that the rest
// of the daemon works as with documents: each host name belongs to a customer whose contract
// consists of the operator's routes. If the operator lists organisations, each is a customer too, which
// the key of a request identifies.
package registry
