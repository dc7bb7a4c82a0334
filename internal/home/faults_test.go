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

// healthyPath is the connection to backend servers whose health path passes, as that of gray ones does.
type healthyPath struct{}

func (healthyPath) RoundTrip(r *http.Request) (*http.Response, error) {
	return &http.Response{StatusCode: http.StatusOK, Body: http.NoBody, Request: r}, nil
}

// fleetModel is a fleet of homes in virtual time with one backend server each, whose messages get lost now and then.
type fleetModel struct {
	t        *testing.T
	random   *rand.Rand
	snapshot *catalog.Snapshot
	homes    []*Home // nil for a killed one
	sick     []bool
	outs     int
}

const (
	modelHomes = 8
	modelFloor = 5 // 60 per cent of 8
)

func newFleetModel(t *testing.T) *fleetModel {
	f := &fleetModel{t: t, random: rand.New(rand.NewPCG(1, 0)), snapshot: fleetOf(modelHomes, 0), homes: make([]*Home, modelHomes), sick: make([]bool, modelHomes)}
	for i := range f.homes {
		f.start(i)
	}
	f.run(5*time.Second, func() bool { return false })
	return f
}

func (f *fleetModel) start(i int) {
	f.homes[i] = New(Options{VM: fmt.Sprint("vm", i), Seed: f.random.Uint64(), Transport: healthyPath{}})
	for _, err := range f.homes[i].Apply(f.snapshot) {
		f.t.Fatal(err)
	}
}

func (f *fleetModel) mode(i int) ejection.Mode { return f.homes[i].active()[0].state(time.Now()).Mode }

func (f *fleetModel) isLost() bool { return f.random.IntN(10) == 0 }

// run lets time pass until done holds, and reports whether it did within d.
func (f *fleetModel) run(d time.Duration, done func() bool) bool {
	for end := time.Now().Add(d); time.Now().Before(end); {
		time.Sleep(TickInterval)
		synctest.Wait()
		for i, h := range f.homes {
			if h != nil {
				f.tick(i, h)
			}
		}
		f.check()
		if done() {
			return true
		}
	}
	return false
}

func (f *fleetModel) tick(i int, h *Home) {
	now := time.Now()
	service := 10 * time.Millisecond
	if f.sick[i] {
		service *= 10
	}
	m := h.active()[0]
	for range 3 {
		if st := m.state(now); st.Allowed > 0 && !h.closed.Load() {
			m.mu.Lock()
			m.life.Observe(now, ejection.Sample{ServiceTime: service, Result: ejection.OK})
			m.recent.add(now, service, false)
			m.mu.Unlock()
		}
	}
	for _, msg := range h.Tick(now) {
		to := f.home(msg.VM)
		if to == nil || f.isLost() {
			h.ReservationResult(now, msg.ID, nil, errkind.New(errkind.PathBroken, "lost"))
			continue
		}
		granted := to.Grant(now, msg.Request(&peerapi.Sender{Vm: h.vm}), nil).GetGranted()
		if f.isLost() {
			h.ReservationResult(now, msg.ID, nil, errkind.New(errkind.PathBroken, "lost"))
		} else {
			h.ReservationResult(now, msg.ID, granted, nil)
		}
	}
	h.RunProbes(now)
	for _, c := range h.Compare(now, f.snapshot) {
		if to := f.home(c.VM); to != nil {
			h.Compared(to.Summaries(now, c.BackendServers))
		}
	}
}

func (f *fleetModel) home(vm string) *Home {
	for _, h := range f.homes {
		if h != nil && h.vm == vm {
			return h
		}
	}
	return nil
}

// check states R1. A killed home counts as serving, because the floor speaks of ejection and drain alone.
func (f *fleetModel) check() {
	out, serving := 0, 0
	seen := make([]string, 0, modelHomes)
	for i, h := range f.homes {
		if h == nil {
			serving++
			continue
		}
		m := f.mode(i)
		seen = append(seen, m.String())
		switch {
		case m.Out():
			out++
		case !h.closed.Load():
			serving++
		}
	}
	f.outs += out
	if out > 0 && serving < modelFloor {
		f.t.Fatalf("%d are out and %d in service, the floor is %d: %s", out, serving, modelFloor, strings.Join(seen, ", "))
	}
}

// Guards against a floor that breaks, or a backend server that never returns, when a home is killed or its VM is wrongly listed as
// leaving while backend servers are being ejected, are out, are probed or return. Three of eight may be out; a fourth sick
// one waits for reservations.
func TestFaultsInEveryMode(t *testing.T) {
	kill := func(f *fleetModel, i int) {
		f.homes[i] = nil
		f.run(time.Second, func() bool { return false })
		f.start(i)
	}
	list := func(f *fleetModel, i int) {
		f.homes[i].SetListedLeaving(true)
		f.run(20*time.Second, func() bool { return false })
		if !f.homes[i].closed.Load() {
			f.t.Errorf("vm%d still takes new work", i)
		}
		f.homes[i].SetListedLeaving(false)
	}
	faults := map[string]func(f *fleetModel, i int){
		"killed":                         kill,
		"listed as leaving":              list,
		"killed, then listed as leaving": func(f *fleetModel, i int) { kill(f, i); list(f, i) },
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

// testFault lets the fault strike the VM of a backend server in the mode, or another one that may have promised to stay.
func testFault(t *testing.T, reached ejection.Mode, own bool, fault func(*fleetModel, int)) {
	f := newFleetModel(t)
	f.sick[0], f.sick[1], f.sick[2] = true, true, true
	if reached == ejection.Suspect {
		f.run(2*time.Minute, func() bool { return f.mode(0).Out() && f.mode(1).Out() && f.mode(2).Out() })
		f.sick[3] = true
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
		target = modelHomes - 1
	}
	fault(f, target)
	f.run(10*time.Second, func() bool { return false })
	clear(f.sick)
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
	if f.outs == 0 {
		t.Error("no backend server was ever out")
	}
}
