package feed

import (
	"errors"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cowsliprun/cowsliprun/internal/pause"
	"github.com/cowsliprun/cowsliprun/internal/registry"
)

// ConfigurationPath is the path of the latest configuration at the peer listener. The query may hold
// haveParam.
const ConfigurationPath = Path + "/configuration"

// haveParam is the version of the configuration that the asking daemon has. Versions order
// configurations; revisions do not, as a store that came back from a copy may give an older version a
// higher revision.
const haveParam = "have"

// maxDeltas bounds the deltas that a daemon keeps. A daemon that has an older configuration gets all
// of it.
const maxDeltas = 8

var (
	// errNothingNewer means that a daemon has no newer configuration than the one that asks.
	errNothingNewer = errors.New("the other daemon has no newer configuration")
	// errBusy means that a daemon sends the configuration to others first.
	errBusy = errors.New("the other daemon has too many transfers to make")
	// errWrongBase is returned for deltas from another configuration than the one that is known.
	errWrongBase = errors.New("the deltas do not begin at the known configuration")
)

// configurationMessage carries a configuration: whole, or as deltas one after another from the one
// of the version Base.
type configurationMessage struct {
	Key      string                         `json:"key"`
	Revision uint64                         `json:"revision"`
	Full     *registry.Configuration        `json:"full,omitempty"`
	Base     uint64                         `json:"base,omitempty"`
	Deltas   []*registry.ConfigurationDelta `json:"deltas,omitempty"`
}

// change returns the message's configuration as a change. known is the latest one of this daemon.
func (m *configurationMessage) change(known registry.Change) (registry.Change, error) {
	c := m.Full
	if c == nil {
		if known.Configuration == nil || m.Base != known.Configuration.Version || len(m.Deltas) == 0 {
			return registry.Change{}, errWrongBase
		}
		c = known.Configuration
		for _, d := range m.Deltas {
			next, err := d.Apply(c)
			if err != nil {
				return registry.Change{}, err
			}
			c = next
		}
	}
	return registry.Change{Key: m.Key, Revision: m.Revision, Configuration: c}, nil
}

// configurations holds the latest configuration and how it came about, for other daemons. It is safe
// for concurrent use.
type configurations struct {
	pacer pacer
	// sentBytes counts the bytes sent to other daemons, refused the requests that came while there was
	// too much to send.
	sentBytes, refused atomic.Uint64
	// version is that of the latest configuration, 0 before the first one.
	version atomic.Uint64

	mu     sync.Mutex
	latest registry.Change
	// deltas lead to the latest configuration. bases[i] is the version at which deltas[i] begins.
	deltas []*registry.ConfigurationDelta
	bases  []uint64
	// encoded maps the version that a daemon has to the message for it. 0 has the full one.
	encoded map[uint64][]byte
}

// add takes a configuration unless it is older than the latest one. withDelta keeps what has
// changed, for other daemons.
func (c *configurations) add(change registry.Change, withDelta bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	version := change.Configuration.Version
	if version <= c.version.Load() {
		return
	}
	if withDelta && c.latest.Configuration != nil {
		c.deltas = append(c.deltas, registry.DiffConfigurations(c.latest.Configuration, change.Configuration))
		c.bases = append(c.bases, c.latest.Configuration.Version)
		if excess := len(c.deltas) - maxDeltas; excess > 0 {
			c.deltas, c.bases = c.deltas[excess:], c.bases[excess:]
		}
	} else {
		c.deltas, c.bases = nil, nil
	}
	c.latest, c.encoded = change, map[uint64][]byte{}
	c.version.Store(version)
}

func (c *configurations) known() registry.Change {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.latest
}

// message returns the encoded message for a daemon that has the configuration of a version, 0 for
// none. It is encoded once for all daemons that have the same.
func (c *configurations) message(have uint64) ([]byte, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.version.Load() <= have {
		return nil, errNothingNewer
	}
	m := configurationMessage{Key: c.latest.Key, Revision: c.latest.Revision}
	m.Deltas = c.deltasFrom(have)
	if m.Deltas != nil {
		m.Base = have
	} else {
		have, m.Full = 0, c.latest.Configuration
	}
	if data := c.encoded[have]; data != nil {
		return data, nil
	}
	data, err := encodeMessage(&m)
	if err == nil {
		c.encoded[have] = data
	}
	return data, err
}

// deltasFrom returns the deltas from a version to the latest configuration, or nil if there are
// none or they are larger than the configuration. The caller holds mu.
func (c *configurations) deltasFrom(have uint64) []*registry.ConfigurationDelta {
	for i, base := range c.bases {
		if base != have {
			continue
		}
		added := 0
		for _, d := range c.deltas[i:] {
			added += d.Added()
		}
		if latest := c.latest.Configuration; added > len(latest.Routes)+len(latest.Organisations) {
			return nil
		}
		return c.deltas[i:]
	}
	return nil
}

// ServeHTTP sends the latest configuration. It responds with 404 if the asking daemon has it
// already, and with 503 while there is too much to send.
func (c *configurations) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	have, err := strconv.ParseUint(r.URL.Query().Get(haveParam), 10, 64)
	if err != nil {
		have = 0
	}
	data, err := c.message(have)
	switch {
	case errors.Is(err, errNothingNewer):
		w.WriteHeader(http.StatusNotFound)
		return
	case err != nil:
		w.WriteHeader(http.StatusInternalServerError)
		return
	}
	wait, ok := c.pacer.reserve(time.Now(), len(data))
	if !ok {
		c.refused.Add(1)
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	if !pause.For(r.Context(), wait) {
		return
	}
	c.sentBytes.Add(uint64(len(data)))
	_, _ = w.Write(data) // the other daemon notices what is missing, and asks another one
}
