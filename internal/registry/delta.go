package registry

import (
	"errors"
	"strconv"
	"strings"
	"time"
)

// errDeltaMismatch is returned for a delta that does not belong to a configuration.
var errDeltaMismatch = errors.New("a configuration delta does not fit the configuration it is applied to")

// ConfigurationDelta is what turns one configuration into another one. All but the routes and the
// organisations is whole.
type ConfigurationDelta struct {
	Version      uint64    `json:"version"`
	Services     []Service `json:"services,omitempty"`
	MaxBodyBytes int64     `json:"maxBodyBytes,omitempty"`
	// Spans make up the routes, in order, and Organisations the organisations.
	Spans         []Span[Route]        `json:"spans,omitempty"`
	Organisations []Span[Organisation] `json:"organisations,omitempty"`
	KeysRequired  bool                 `json:"keysRequired,omitempty"`
	Faults        []string             `json:"faults,omitempty"`
	FaultCount    int                  `json:"faultCount,omitempty"`
}

// Span is a sequence of items: Count items of the earlier configuration from index From on, then the
// added ones.
type Span[T any] struct {
	From  int `json:"from,omitempty"`
	Count int `json:"count,omitempty"`
	Added []T `json:"added,omitempty"`
}

// Added returns the number of routes and organisations that the delta carries whole.
func (d *ConfigurationDelta) Added() int { return countAdded(d.Spans) + countAdded(d.Organisations) }

func countAdded[T any](spans []Span[T]) int {
	n := 0
	for i := range spans {
		n += len(spans[i].Added)
	}
	return n
}

// routeKey identifies the content of a route.
type routeKey struct {
	name, host, pathPrefix, unknownKind, parts string
	kind                                       Kind
	timeout, goal                              time.Duration
	rank, maxBackends                          int
	anonymous                                  bool
}

func keyOf(r *Route) routeKey {
	var parts strings.Builder
	for _, p := range r.Parts {
		parts.WriteString(strconv.Quote(p.Service))
		parts.WriteString(strconv.Itoa(p.Weight))
	}
	return routeKey{
		name: r.Name, host: r.Host, pathPrefix: r.PathPrefix, unknownKind: r.UnknownKind, parts: parts.String(),
		kind: r.Kind, timeout: r.Timeout, goal: r.Goal, rank: r.Rank, maxBackends: r.MaxBackends, anonymous: r.Anonymous,
	}
}

// organisationKey identifies the content of an organisation.
type organisationKey struct {
	name, keys           string
	rank                 int
	ratePerSecond, burst float64
	limitsUnknown        bool
}

func keyOfOrganisation(o *Organisation) organisationKey {
	var keys strings.Builder
	for i := range o.Keys {
		keys.Write(o.Keys[i][:])
	}
	return organisationKey{
		name: o.Name, keys: keys.String(), rank: o.Rank, ratePerSecond: o.RatePerSecond, burst: o.Burst, limitsUnknown: o.LimitsUnknown,
	}
}

// DiffConfigurations returns the delta from one configuration to another one. Routes and
// organisations that both have are not carried, wherever they stand.
func DiffConfigurations(before, after *Configuration) *ConfigurationDelta {
	return &ConfigurationDelta{
		Version: after.Version, Services: after.Services, MaxBodyBytes: after.MaxBodyBytes,
		Spans:         diff(before.Routes, after.Routes, keyOf),
		Organisations: diff(before.Organisations, after.Organisations, keyOfOrganisation),
		KeysRequired:  after.KeysRequired, Faults: after.Faults, FaultCount: after.FaultCount,
	}
}

// diff returns the spans that make a list of an earlier one. Most changes concern few items, so only
// what lies between the first and the last change is compared by position.
func diff[T any, K comparable](before, after []T, keyOf func(*T) K) []Span[T] {
	same := func(i, j int) bool { return keyOf(&before[i]) == keyOf(&after[j]) }
	head, shorter := 0, min(len(before), len(after))
	for head < shorter && same(head, head) {
		head++
	}
	tail := 0
	for tail < shorter-head && same(len(before)-1-tail, len(after)-1-tail) {
		tail++
	}
	positions := make(map[K]int, len(before)-head-tail)
	for i := head; i < len(before)-tail; i++ {
		positions[keyOf(&before[i])] = i
	}
	var spans []Span[T]
	if head > 0 {
		spans = append(spans, Span[T]{Count: head})
	}
	for i := head; i < len(after)-tail; i++ {
		position, known := positions[keyOf(&after[i])]
		spans = appendItem(spans, &after[i], position, known)
	}
	if tail > 0 {
		spans = append(spans, Span[T]{From: len(before) - tail, Count: tail})
	}
	return spans
}

// appendItem adds an item to the spans, which is known if it stands at a position of the earlier list.
func appendItem[T any](spans []Span[T], item *T, position int, known bool) []Span[T] {
	if len(spans) == 0 {
		spans = append(spans, Span[T]{})
	}
	last := &spans[len(spans)-1]
	switch {
	case !known:
		last.Added = append(last.Added, *item)
	case len(last.Added) > 0 || last.Count > 0 && position != last.From+last.Count:
		spans = append(spans, Span[T]{From: position, Count: 1})
	case last.Count > 0:
		last.Count++
	default:
		last.From, last.Count = position, 1
	}
	return spans
}

// Apply returns the configuration that the delta makes of an earlier one, which it does not change.
func (d *ConfigurationDelta) Apply(before *Configuration) (*Configuration, error) {
	out := &Configuration{
		Version: d.Version, Services: d.Services, MaxBodyBytes: d.MaxBodyBytes, KeysRequired: d.KeysRequired, Faults: d.Faults, FaultCount: d.FaultCount,
	}
	var err, organisationsErr error
	out.Routes, err = applySpans(d.Spans, before.Routes)
	out.Organisations, organisationsErr = applySpans(d.Organisations, before.Organisations)
	if err != nil || organisationsErr != nil {
		return nil, errDeltaMismatch
	}
	return out, nil
}

// applySpans returns the list that the spans make of an earlier one.
func applySpans[T any](spans []Span[T], before []T) ([]T, error) {
	total := 0
	for i := range spans {
		span := &spans[i]
		if span.From < 0 || span.Count < 0 || span.From > len(before) || span.Count > len(before)-span.From {
			return nil, errDeltaMismatch
		}
		total += span.Count + len(span.Added)
	}
	if total == 0 {
		return nil, nil
	}
	if len(spans) == 1 && total == len(before) && spans[0].Count == total {
		return before, nil
	}
	var out []T
	for i := range spans {
		out = append(out, before[spans[i].From:spans[i].From+spans[i].Count]...)
		out = append(out, spans[i].Added...)
	}
	return out, nil
}
