package listener

import (
	"context"
	"errors"
	"io"
	"net"
	"testing"
	"time"
)

// acceptOne returns an accepted connection of a listener with a limit, and its other end.
func acceptOne(t *testing.T) (*Listener, net.Conn, net.Conn) {
	t.Helper()
	l := listen(t, 1)
	client := dial(t, l)
	server, err := l.Accept()
	if err != nil {
		t.Fatal(err)
	}
	return l, server, client
}

// Guards against a handler that reads on after the connection was closed: lingering discards bytes, so
// what it got would have a hole.
func TestClosedConnectionReturnsNothing(t *testing.T) {
	_, server, client := acceptOne(t)
	read := make(chan error, 1)
	go func() {
		_, err := server.Read(make([]byte, 10))
		read <- err
	}()
	go server.Write(make([]byte, 64<<20)) //nolint:errcheck // leaves bytes that the peer has yet to take
	time.Sleep(50 * time.Millisecond)
	server.Close()               //nolint:errcheck // the reads are judged
	client.Write([]byte("late")) //nolint:errcheck // as above
	select {
	case err := <-read:
		if err == nil {
			t.Error("a read in progress got bytes after Close")
		}
	case <-time.After(10 * time.Second):
		t.Error("a read in progress does not end with Close")
	}
	if _, err := server.Read(make([]byte, 10)); !errors.Is(err, net.ErrClosed) {
		t.Errorf("a read after Close: %v", err)
	}
	if err := server.SetReadDeadline(time.Time{}); !errors.Is(err, net.ErrClosed) {
		t.Errorf("a deadline after Close: %v", err)
	}
}

// Guards against a peer that takes the rest of an answer so slowly that it uses up the time of a
// planned stop.
func TestLingeringPeerDoesNotHoldTheStop(t *testing.T) {
	l, server, _ := acceptOne(t)
	go server.Write(make([]byte, 64<<20)) //nolint:errcheck // the peer does not read
	time.Sleep(50 * time.Millisecond)
	server.Close() //nolint:errcheck // it lingers
	ctx, cancel := context.WithTimeout(t.Context(), time.Minute)
	defer cancel()
	l.WaitLingering(ctx)
	if ctx.Err() != nil {
		t.Error("the wait lasted until the end of its context")
	}
}

// Guards against a caller that loses the end of its answer because its connection was still in the
// accept queue when the drain began: with unread requests behind the answer, the close resets the
// connection, unless it lingers like those that were accepted before.
func TestConnectionAcceptedDuringDrainDeliversItsAnswer(t *testing.T) {
	const size = 4 << 20
	for range 5 {
		l := listen(t, 1)
		client := dial(t, l)
		client.Write(make([]byte, 1000)) //nolint:errcheck // requests sent ahead, which stay unread
		drained := make(chan struct{})
		go func() {
			defer close(drained)
			l.Drain(t.Context())
		}()
		<-l.draining // before the first Accept
		server, err := l.Accept()
		if err != nil {
			t.Fatal(err)
		}
		go func() {
			server.Write(make([]byte, size)) //nolint:errcheck // the peer judges
			server.Close()                   //nolint:errcheck // as above
		}()
		for {
			if _, err := l.Accept(); err != nil {
				break
			}
		}
		<-drained
		client.SetReadDeadline(time.Now().Add(20 * time.Second)) //nolint:errcheck // the read fails then
		if n, err := io.Copy(io.Discard, client); err != nil || n != size {
			t.Errorf("%d of %d bytes of the answer arrived, and then %v", n, size, err)
		}
		if len(l.slots) != 0 {
			t.Errorf("%d places are taken after the end of all connections", len(l.slots))
		}
	}
}
