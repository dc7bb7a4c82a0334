// Package freeport gives tests loopback ports for the daemons that they start. No port is given out
// twice, neither in a process nor in another one that runs at the same time.
//
// A test has to close the listener with which it finds a free port before the daemon opens its own. A
// port that is only drawn can be drawn again in between.
package freeport

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"sync"
)

// The ports lie below those that the system gives to outgoing connections, one of which could take a
// port before its daemon listens. They are divided into blocks. A process claims a block by listening
// on its first port until the process ends.
const (
	firstPort  = 20_000
	portCount  = 12_000
	blockSize  = 100
	blockCount = portCount / blockSize
)

var errNoBlock = errors.New("all blocks of test ports are claimed")

// Allocator gives out ports. It is safe for concurrent use.
type Allocator struct {
	mu sync.Mutex
	// claims are the listeners that hold the claimed blocks.
	claims []net.Listener
	// next is the next port of the latest block, and left the number of its ports from there on.
	next, left int
}

// shared is the allocator of the process.
var shared Allocator

// Next returns a port that is free on the first loopback addresses, 127.0.0.1 and up.
func Next(hosts int) (int, error) { return shared.Next(hosts) }

// Next is the function Next for one allocator.
func (a *Allocator) Next(hosts int) (int, error) {
	a.mu.Lock()
	defer a.mu.Unlock()
	for {
		if a.left == 0 {
			if err := a.claim(); err != nil {
				return 0, err
			}
		}
		port := a.next
		a.next++
		a.left--
		if isFree(port, hosts) {
			return port, nil
		}
	}
}

// claim claims a block. The caller holds mu.
func (a *Allocator) claim() error {
	first := rand.IntN(blockCount)
	for i := range blockCount {
		port := firstPort + (first+i)%blockCount*blockSize
		l, err := net.Listen("tcp", address(1, port))
		if err != nil {
			continue // another process or this one has it
		}
		a.claims = append(a.claims, l)
		a.next, a.left = port+1, blockSize-1
		return nil
	}
	return errNoBlock
}

// Close gives all blocks back.
func (a *Allocator) Close() {
	a.mu.Lock()
	defer a.mu.Unlock()
	for _, l := range a.claims {
		l.Close()
	}
	a.claims, a.left = nil, 0
}

// isFree reports whether nothing listens on the port of the hosts.
func isFree(port, hosts int) bool {
	for host := 1; host <= hosts; host++ {
		l, err := net.Listen("tcp", address(host, port))
		if err != nil {
			return false
		}
		l.Close()
	}
	return true
}

func address(host, port int) string { return fmt.Sprintf("127.0.0.%d:%d", host, port) }
