// Package forward implements the protocol between an entry daemon, which receives a caller's
// request, and a home daemon, which runs on the VM of the chosen backend server and hands the
// request over to it. The package defines the headers, the length and digest that prove that a body
// arrived complete, the copy loops that stream bodies in bounded memory, and the transports.
//
// A sender adds length and digest after the last byte of a body: as trailers in a response, as 8
// bytes of digest alone in a request. A receiver that finds them missing or different returns
// ErrBodyCorrupt in place of io.EOF, so that a truncated body is never taken for a complete one.
package forward
