package main

import (
	"bufio"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"slices"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// leaveLength is the length of a time in which clients leave, leavePause the time between two.
	leaveLength = 5500 * time.Millisecond
	leavePause  = 1500 * time.Millisecond
	// leaveMachines is the number of machines.
	leaveMachines = 8
	// leaveLimit bounds the case.
	leaveLimit = 90 * time.Second
	// stayingClients is the number of clients of a machine that stay and keep their connection. With
	// stayingWork each of them sends 10 requests a second.
	stayingClients = 8
	stayingWork    = 100 * time.Millisecond
	// A client program of each machine sends leavingAtOnce requests every leavingInterval, on a connection
	// each. These are 32 a second beside 80 of staying clients, so 29% of the clients leave.
	leavingAtOnce   = 16
	leavingInterval = 500 * time.Millisecond
	// patienceLimit is the longest time that a client stays after it has sent its request.
	patienceLimit = 100 * time.Microsecond
	// maxLost is the number of lost requests that the rule allows.
	maxLost = 3
)

// keptRequest is a request on a kept connection that has ended without an answer.
type keptRequest struct{ attempt, machine string }

// leave has a part of the clients leave right after they have sent a request, while others stay.
func leave(r *record, trouble bool) (outcome, error) {
	f, err := newFleet(r, slices.Repeat([]string{"lookup"}, leaveMachines)...)
	if err != nil {
		return outcome{}, err
	}
	defer f.close()
	var ran runs
	if _, err := f.startUpstreams(stayingWork, &ran); err != nil {
		return outcome{}, err
	}
	f.store.put("op/config", configuration(7, "lookup"))
	if err := f.startAll(); err != nil {
		return outcome{}, err
	}
	time.Sleep(time.Second)

	stop, ended := make(chan struct{}), make(chan string, len(f.machines))
	for _, m := range f.machines {
		go func() {
			m.command.Wait() //nolint:errcheck // that it ends is what counts
			select {
			case <-stop:
			default:
				r.logf("the process of daemon %s has ended by itself: %s", m.ip, f.lastFatal(m))
				ended <- m.ip
			}
		}()
	}
	var clients sync.WaitGroup
	var mu sync.Mutex
	var unanswered []keptRequest
	var served, left atomic.Int64
	for _, m := range f.machines {
		for range stayingClients {
			clients.Go(func() {
				for !isClosed(stop) {
					lost, ok := f.stay(m, stop, &served)
					mu.Lock()
					unanswered = append(unanswered, lost...)
					mu.Unlock()
					if !ok {
						return // the daemon takes no connections any more
					}
				}
			})
		}
		clients.Go(func() { f.leaveOften(m, stop, trouble, &left) })
	}
	select {
	case ip := <-ended:
		r.logf("daemon %s is gone", ip)
		time.Sleep(time.Second)
	case <-time.After(leaveLimit):
	}
	close(stop)
	clients.Wait()
	began := map[string]bool{}
	for _, one := range ran.all() {
		began[one.attempt] = true
	}
	lost := 0
	for _, k := range unanswered {
		if began[k.attempt] {
			lost++
			r.logf("request %s on a kept connection to %s was passed on and ended without an answer", k.attempt, k.machine)
		}
	}
	return outcome{lost > maxLost, fmt.Sprintf("%d requests served, %d clients left, %d requests lost", served.Load(), left.Load(), lost)}, nil
}

func isClosed(c <-chan struct{}) bool {
	select {
	case <-c:
		return true
	default:
		return false
	}
}

// stay sends requests on one connection until stop is closed or the connection ends. It returns the
// request that had no answer then, and false if there was no connection.
func (f *fleet) stay(m *machine, stop <-chan struct{}, served *atomic.Int64) (lost []keptRequest, ok bool) {
	conn, err := net.DialTimeout("tcp", f.callers(m), time.Second)
	if err != nil {
		return nil, false
	}
	defer conn.Close()
	reader := bufio.NewReader(conn)
	for !isClosed(stop) {
		id := newAttempt()
		conn.SetDeadline(time.Now().Add(9 * time.Second)) //nolint:errcheck // the next write reports it
		if _, err := io.WriteString(conn, lookupRequest(id)); err != nil {
			return nil, true // it has crossed the end of the connection
		}
		f.record.logf("client sends %s to %s on a kept connection", id, m.ip)
		resp, err := http.ReadResponse(reader, nil)
		if err == nil {
			_, err = io.Copy(io.Discard, resp.Body)
			resp.Body.Close()
		}
		if err != nil {
			f.record.logf("client gets no answer to %s from %s: %v", id, m.ip, err)
			return []keptRequest{{id, m.ip}}, true
		}
		f.record.logf("client gets %d to %s", resp.StatusCode, id)
		if resp.StatusCode == http.StatusOK {
			served.Add(1)
		}
		if resp.Close {
			return nil, true
		}
	}
	return nil, true
}

func lookupRequest(id string) string {
	return fmt.Sprintf("GET %s1 HTTP/1.1\r\nHost: %s\r\nAttempt-Id: %s\r\nDeadline-Ms: 8000\r\n\r\n", lookupPrefix, host, id)
}

// leaveOften sends requests on new connections. With trouble the client program ends soon after it has
// sent them, for leaveLength at a time; otherwise it waits for the answers.
func (f *fleet) leaveOften(m *machine, stop <-chan struct{}, trouble bool, left *atomic.Int64) {
	start := time.Now()
	for !isClosed(stop) {
		time.Sleep(leavingInterval)
		leaving := trouble && time.Since(start)%(leaveLength+leavePause) < leaveLength
		var conns []net.Conn
		for range leavingAtOnce {
			conn, err := net.DialTimeout("tcp", f.callers(m), time.Second)
			if err != nil {
				return // the daemon has ended
			}
			conns = append(conns, conn)
		}
		var requests sync.WaitGroup
		for _, conn := range conns {
			requests.Go(func() {
				defer conn.Close()
				id := newAttempt()
				if _, err := io.WriteString(conn, lookupRequest(id)); err != nil {
					return
				}
				if leaving {
					time.Sleep(time.Duration(rand.Int64N(int64(patienceLimit))))
					left.Add(1)
					f.record.logf("client has sent %s to %s and leaves", id, m.ip)
					return
				}
				f.record.logf("client sends %s to %s", id, m.ip)
				conn.SetReadDeadline(time.Now().Add(8 * time.Second)) //nolint:errcheck // the read reports it
				if resp, err := http.ReadResponse(bufio.NewReader(conn), nil); err == nil {
					resp.Body.Close()
					f.record.logf("client gets %d to %s", resp.StatusCode, id)
				}
			})
		}
		requests.Wait()
	}
}
