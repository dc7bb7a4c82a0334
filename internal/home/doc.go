// Package home stands in front of the backend servers of its own VM. Every request to them passes it. It owns their slots,
// their drain and their ejection state, and it alone knows whether a request was handed over to a backend server.
package home
