// Package home implements the home: the part of a daemon that every request to the backend servers
// of its own VM passes. It owns their request slots, their drain and their ejection state. It alone
// knows whether a request reached a backend server. The requests come from entries, the parts of
// the daemons that receive the callers' requests.
//
// Two measures protect callers from a bad backend server. Ejection takes it out of service. It
// needs reservations, by which the homes of its siblings (the other backend servers of the service)
// promise to keep those in service. Suspicion holds back requests that cannot be repeated while the
// backend server seems gray, that is, while it fails a large share of its requests. Separately, a
// drain takes the whole VM out of service.
package home
