// Package catalog holds the configuration in force as an immutable snapshot. It provides the
// look-ups of the request path: customer by API key or host name, route by path, service, backend
// server, VM and locality.
package catalog
