// Package listener accepts TCP connections within a limit, and stops without resetting connections
// that clients have opened.
//
// Closing a listening socket resets the connections that wait in its accept queue, and those whose
// handshake is under way. Their clients may have sent a request already, and cannot tell whether it
// was read. Listener.Drain therefore ends new handshakes first, if the system can do that, accepts
// whatever waits, and only then closes the socket.
//
// A connection of a listener with a limit ends without a reset while the peer may still need the end
// of a response, and tells when requests that were sent ahead have arrived.
package listener
