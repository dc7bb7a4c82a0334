// Package forward is the hop protocol between an entry daemon and a home daemon: its headers, the length and digest trailers
// that prove that a body arrived whole, and the copy loops that stream bodies with bounded memory.
//
// A sender adds the trailers after the last byte. A receiver that finds them missing or different reports ErrBroken in
// place of io.EOF, so that a cut body never looks like a whole one.
package forward
