// Package inforce holds the configuration in force at one daemon: per value of the platform the documents that were accepted,
// and the snapshot built from all of them. A value is merged document by document, so that a bad or conflicting document
// keeps its predecessor in force and does not block the others.
package inforce
