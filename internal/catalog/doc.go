// Package catalog holds the configuration in force as an immutable snapshot, with the look-ups that the request path needs:
// customer by API key, route by path, service, backend server, VM and locality.
package catalog
