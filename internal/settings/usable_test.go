package settings

import (
	"strings"
	"testing"
	"time"

	"github.com/cowsliprun/cowsliprun/internal/contract"
)

// filledIn is a settings file as a platform fills it in.
const filledIn = `vm: "10.1.0.38"
dataCentre: "pest-a"
region: "pest"
listen:
  callers: "10.1.0.38:8147"
  peer: "10.1.0.38:8146"
  ready: "10.1.0.38:8141"
  admin: "10.1.0.38:7380"
registry:
  url: "http://10.200.1.7:8142"
  floorShare: 0.7
  retryRatio: 0.2
  retryWindow: "10s"
  retrySlack: 64
application:
  service: "huvo11a"
  address: "10.1.0.38:8145"
dataCentres:
  - {dataCentre: "pest-a", region: "pest"}
  - {dataCentre: "buda-a", region: "buda"}
peerNetworks: ["10.0.0.0/8", "172.16.0.0/12"]
limits:
  descriptors: 4100
  drainStopLimit: "6s"
`

// Guards against a fleet that does not start because a platform gave a value that a daemon can do
// without, and against a value that is used although it cannot be right.
func TestDaemonStartsWithEachUsableValue(t *testing.T) {
	for _, c := range []struct {
		old, new string
		ignored  int
		check    func(s Settings) bool
	}{
		{"", "", 0, func(s Settings) bool { return s.Limits.MaxConnections == 1900 && len(s.PeerNetworks) == 2 }},
		{"retrySlack: 64", "retrySlack: 25.2", 0, func(s Settings) bool { return s.Registry.RetrySlack == 25.2 }},
		{"retrySlack: 64", "retrySlack: ", 1, func(s Settings) bool { return s.Registry.RetrySlack == 0 }},
		{"retrySlack: 64", "retrySlack: many", 1, func(s Settings) bool { return s.Registry.RetrySlack == 0 }},
		{"retrySlack: 64", "retrySlack: -1", 1, func(s Settings) bool { return s.Registry.RetrySlack == 0 }},
		{"retryRatio: 0.2", "retryRatio: 20", 1, func(s Settings) bool { return s.Registry.RetryRatio == 0.2 }},
		{"retryRatio: 0.2", "retryRatio: true", 1, func(s Settings) bool { return s.Registry.RetryRatio == 0.2 }},
		{"retryRatio: 0.2", "retryRatio: 1", 0, func(s Settings) bool { return s.Registry.RetryRatio == 1 }},
		{`retryWindow: "10s"`, `retryWindow: "2.5s"`, 0, func(s Settings) bool { return s.Registry.RetryWindow == contract.Duration(2500*time.Millisecond) }},
		{`retryWindow: "10s"`, `retryWindow: 10`, 1, func(s Settings) bool { return s.Registry.RetryWindow == contract.Duration(10*time.Second) }},
		{"floorShare: 0.7", "floorShare: null", 1, func(s Settings) bool { return s.Registry.FloorShare == 0.7 }},
		{"descriptors: 4100", "descriptors: 8192", 0, func(s Settings) bool { return s.Limits.MaxConnections == 3946 }},
		{"descriptors: 4100", "descriptors: 8.5", 1, func(s Settings) bool { return s.Limits.MaxConnections == 4096 }},
		{"descriptors: 4100", "descriptors: 1", 0, func(s Settings) bool { return s.Limits.MaxConnections == 1 }},
		{"descriptors: 4100", "descriptors: 4100\n  linkMbps: 14.5", 0, func(s Settings) bool { return s.Limits.LinkMbps == 14.5 }},
		{"descriptors: 4100", "descriptors: 4100\n  linkMbps: fast", 1, func(s Settings) bool { return s.Limits.LinkMbps == 0 }},
		{`"buda-a", region: "buda"`, `"buda-a", region: ""`, 1, func(s Settings) bool { return len(s.DataCentres) == 1 && s.DataCentres[0].Region == "pest" }},
		{`"172.16.0.0/12"`, `"172.16.0.1/12"`, 1, func(s Settings) bool { return len(s.PeerNetworks) == 1 && s.PeerNetworks[0] == "10.0.0.0/8" }},
		{`service: "huvo11a"`, `service: "pöntun og greiðsla"`, 0, func(s Settings) bool { return s.Application.Service == "pöntun og greiðsla" }},
		{"limits:\n", "colour: red\nlimits:\n", 1, func(s Settings) bool { return s.Limits.MaxConnections == 1900 }},
	} {
		text := strings.Replace(filledIn, c.old, c.new, 1)
		s, fatal, ignored := ParseUsable("f", []byte(text))
		if len(fatal) > 0 || len(ignored) != c.ignored || !c.check(s) {
			t.Errorf("%q for %q: fatal %v, ignored %v, settings %+v", c.new, c.old, fatal, ignored, s)
		}
	}
}

// Guards against a daemon that starts without an address to serve at, or that tells backend servers
// a wrong origin of a request.
func TestDaemonDoesNotStartWithoutWhatItNeeds(t *testing.T) {
	for _, c := range []struct{ old, new string }{
		{`vm: "10.1.0.38"`, `vm: ""`},
		{`callers: "10.1.0.38:8147"`, `callers: "10.1.0.38"`},
		{`peer: "10.1.0.38:8146"`, `peer: "10.1.0.38:8147"`},
		{`url: "http://10.200.1.7:8142"`, `url: "10.200.1.7:8142"`},
		{`url: "http://10.200.1.7:8142"`, `url: ""`},
		{`service: "huvo11a"`, `service: ""`},
		{`service: "huvo11a"`, `service: "a\r\nForged: 1"`},
		{`region: "pest"` + "\n", "region:\n"},
		{"limits:", "limits: ["},
	} {
		text := strings.Replace(filledIn, c.old, c.new, 1)
		if _, fatal, _ := ParseUsable("f", []byte(text)); text == filledIn || len(fatal) == 0 {
			t.Errorf("%q for %q: accepted", c.new, c.old)
		}
	}
}

// Guards against arbitrary input that makes ParseUsable panic, or that a daemon starts with although
// its addresses or limits cannot be used.
func FuzzParseUsable(f *testing.F) {
	f.Add([]byte(filledIn))
	for _, change := range []string{"retrySlack: .inf", "retrySlack: [1]", "retrySlack: {a: 1}"} {
		f.Add([]byte(strings.Replace(filledIn, "retrySlack: 64", change, 1)))
	}
	f.Add([]byte(filledIn + "dataCentres: 7\npeerNetworks: {a: b}\nlog: 3\n"))
	f.Fuzz(func(t *testing.T, data []byte) {
		s, fatal, _ := ParseUsable("f", data)
		if len(fatal) > 0 {
			return
		}
		r, l := s.Registry, s.Limits
		switch {
		case contract.AddressProblem(s.Listen.Callers) != "" || contract.AddressProblem(s.Listen.Peer) != "" || s.Application.Service == "":
			t.Fatalf("accepted the addresses %+v and the application %+v", s.Listen, s.Application)
		case !(r.RetryRatio >= 0 && r.RetryRatio <= 1 && r.RetrySlack >= 0 && r.FloorShare >= 0 && r.FloorShare <= 1) || r.RetryWindow <= 0:
			t.Fatalf("accepted %+v", r)
		case l.MaxConnections < 1 || l.DrainStopLimit <= 0 || l.MaxHeaderBytes < 4<<10:
			t.Fatalf("accepted %+v", l)
		}
	})
}
