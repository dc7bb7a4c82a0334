package home

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/cowsliprun/cowsliprun/internal/catalog"
	"github.com/cowsliprun/cowsliprun/internal/ejection"
	"github.com/cowsliprun/cowsliprun/internal/errkind"
	"github.com/cowsliprun/cowsliprun/internal/peerapi"
)

// healthyTransport is a transport to backend servers whose health path always passes, as it does
// for gray ones.
type healthyTransport struct{}

func (healthyTransport) RoundTrip(r *http.Request) (*http.Response, error) {
	return &http.Response{StatusCode: http.StatusOK, Body: http.NoBody, Request: r}, nil
}

// simulatedFleet is a fleet of homes in virtual time, with one backend server each. Some of their
// messages get lost.
type simulatedFleet struct {
	t        *testing.T
	random   *rand.Rand
	snapshot *catalog.Snapshot
	homes    []*Home // nil for a killed home
	slow     []bool
	outCount int
}

const (
	fleetSize  = 8
	fleetFloor = 5 // 60 per cent of 8, rounded up
)

func newSimulatedFleet(t *testing.T) *simulatedFleet {
	f := &simulatedFleet{t: t, random: rand.New(rand.NewPCG(1, 0)), snapshot: fleetOf(fleetSize, 0), homes: make([]*Home, fleetSize), slow: make([]bool, fleetSize)}
	for i := range f.homes {
		f.start(i)
	}
	f.run(5*time.Second, func() bool { return false })
	return f
}

func (f *simulatedFleet) start(i int) {
	f.homes[i] = New(Options{VM: fmt.Sprint("vm", i), Seed: f.random.Uint64(), Transport: healthyTransport{}})
	for _, err := range f.homes[i].Apply(f.snapshot) {
		f.t.Fatal(err)
	}
}

func (f *simulatedFleet) mode(i int) ejection.Mode {
	return f.homes[i].activeMembers()[0].state(time.Now()).Mode
}

func (f *simulatedFleet) isMessageLost() bool { return f.random.IntN(10) == 0 }

// run advances time until done returns true, and reports whether it did within d.
func (f *simulatedFleet) run(d time.Duration, done func() bool) bool {
	for end := time.Now().Add(d); time.Now().Before(end); {
		time.Sleep(TickInterval)
		synctest.Wait()
		for i, h := range f.homes {
			if h != nil {
				f.tick(i, h)
			}
		}
		f.checkFloor()
		if done() {
			return true
		}
	}
	return false
}

func (f *simulatedFleet) tick(i int, h *Home) {
	now := time.Now()
	serviceTime := 10 * time.Millisecond
	if f.slow[i] {
		serviceTime *= 10
	}
	m := h.activeMembers()[0]
	for range 3 {
		if st := m.state(now); st.Allowed > 0 && !h.closed.Load() {
			m.mu.Lock()
			m.lifecycle.Observe(now, ejection.Sample{ServiceTime: serviceTime, Result: ejection.OK})
			m.recent.add(now, serviceTime, false)
			m.mu.Unlock()
		}
	}
	for _, msg := range h.Tick(now) {
		to := f.home(msg.VM)
		if to == nil || f.isMessageLost() {
			h.HandleReservationResult(now, msg.ID, nil, errkind.New(errkind.PathBroken, "lost"))
			continue
		}
		granted := to.Grant(now, msg.Request(&peerapi.Sender{Vm: h.vm}), nil).GetGranted()
		if f.isMessageLost() {
			h.HandleReservationResult(now, msg.ID, nil, errkind.New(errkind.PathBroken, "lost"))
		} else {
			h.HandleReservationResult(now, msg.ID, granted, nil)
		}
	}
	h.RunProbes(now)
	for _, c := range h.NextComparisons(now, f.snapshot) {
		if to := f.home(c.VM); to != nil {
			h.HandleCompareResponse(to.Summaries(now, c.BackendServers))
		}
	}
}

func (f *simulatedFleet) home(vm string) *Home {
	for _, h := range f.homes {
		if h != nil && h.vm == vm {
			return h
		}
	}
	return nil
}

// checkFloor fails the test if a backend server is out of service while fewer than fleetFloor are
// in service. A killed home counts as in service, because the floor concerns ejection and drain
// alone.
func (f *simulatedFleet) checkFloor() {
	out, serving := 0, 0
	modes := make([]string, 0, fleetSize)
	for i, h := range f.homes {
		if h == nil {
			serving++
			continue
		}
		m := f.mode(i)
		modes = append(modes, m.String())
		switch {
		case m.IsOut():
			out++
		case !h.closed.Load():
			serving++
		}
	}
	f.outCount += out
	if out > 0 && serving < fleetFloor {
		f.t.Fatalf("%d backend servers are out and %d in service, the floor is %d: modes %s", out, serving, fleetFloor, strings.Join(modes, ", "))
	}
}

// Guards against a service that falls below its floor, and against a backend server that never
// returns to service. A home is killed, or its VM is wrongly listed as leaving, while backend
// servers are suspect, ejected, probed or ramping up. Three of eight may be out; a fourth slow one
// waits for reservations.
func TestFaultsInEveryMode(t *testing.T) {
	kill := func(f *simulatedFleet, i int) {
		f.homes[i] = nil
		f.run(time.Second, func() bool { return false })
		f.start(i)
	}
	listAsLeaving := func(f *simulatedFleet, i int) {
		f.homes[i].SetListedLeaving(true)
		f.run(20*time.Second, func() bool { return false })
		if !f.homes[i].closed.Load() {
			f.t.Errorf("vm%d is listed as leaving and still takes new requests", i)
		}
		f.homes[i].SetListedLeaving(false)
	}
	faults := map[string]func(f *simulatedFleet, i int){
		"killed":                         kill,
		"listed as leaving":              listAsLeaving,
		"killed, then listed as leaving": func(f *simulatedFleet, i int) { kill(f, i); listAsLeaving(f, i) },
	}
	for _, reached := range []ejection.Mode{ejection.Suspect, ejection.Ejected, ejection.Probing, ejection.Ramping} {
		for name, fault := range faults {
			for _, own := range []bool{true, false} {
				t.Run(fmt.Sprintf("%s/%s/own=%t", reached, name, own), func(t *testing.T) {
					synctest.Test(t, func(t *testing.T) { testFault(t, reached, own, fault) })
				})
			}
		}
	}
}

// testFault applies the fault to the VM of a backend server in the mode, or (own is false) to
// another VM that may have promised to stay.
func testFault(t *testing.T, reached ejection.Mode, own bool, fault func(*simulatedFleet, int)) {
	f := newSimulatedFleet(t)
	f.slow[0], f.slow[1], f.slow[2] = true, true, true
	if reached == ejection.Suspect {
		f.run(2*time.Minute, func() bool { return f.mode(0).IsOut() && f.mode(1).IsOut() && f.mode(2).IsOut() })
		f.slow[3] = true
	}
	target := -1
	found := f.run(2*time.Minute, func() bool {
		for i := range 4 {
			if f.mode(i) == reached {
				target = i
			}
		}
		return target >= 0
	})
	if !found {
		t.Fatalf("no backend server became %s", reached)
	}
	if !own {
		target = fleetSize - 1
	}
	fault(f, target)
	f.run(10*time.Second, func() bool { return false })
	clear(f.slow)
	if !f.run(10*time.Minute, func() bool {
		for i := range f.homes {
			if f.mode(i) != ejection.Active || f.homes[i].closed.Load() {
				return false
			}
		}
		return true
	}) {
		t.Error("not all backend servers came back into service")
	}
	if f.outCount == 0 {
		t.Error("no backend server was ever out of service, so the floor was not tested")
	}
}
