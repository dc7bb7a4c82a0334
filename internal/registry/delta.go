package registry

import (
	"errors"
	"strconv"
	"strings"
	"time"
)

// errDeltaMismatch is returned for a delta that does not belong to a configuration.
var errDeltaMismatch = errors.New("a configuration delta does not fit the configuration it is applied to")

// ConfigurationDelta is what turns one configuration into another one. All but the routes is whole.
type ConfigurationDelta struct {
	Version      uint64    `json:"version"`
	Services     []Service `json:"services,omitempty"`
	MaxBodyBytes int64     `json:"maxBodyBytes,omitempty"`
	// Spans make up the routes, in order.
	Spans []RouteSpan `json:"spans,omitempty"`
}

// RouteSpan is a sequence of routes: Count routes of the earlier configuration from index From on,
// then the added ones.
type RouteSpan struct {
	From  int     `json:"from,omitempty"`
	Count int     `json:"count,omitempty"`
	Added []Route `json:"added,omitempty"`
}

// AddedRoutes returns the number of routes that the delta carries whole.
func (d *ConfigurationDelta) AddedRoutes() int {
	n := 0
	for i := range d.Spans {
		n += len(d.Spans[i].Added)
	}
	return n
}

// routeKey identifies the content of a route.
type routeKey struct {
	name, host, pathPrefix, unknownKind, parts string
	kind                                       Kind
	timeout, goal                              time.Duration
	rank, maxBackends                          int
}

func keyOf(r *Route) routeKey {
	var parts strings.Builder
	for _, p := range r.Parts {
		parts.WriteString(strconv.Quote(p.Service))
		parts.WriteString(strconv.Itoa(p.Weight))
	}
	return routeKey{
		name: r.Name, host: r.Host, pathPrefix: r.PathPrefix, unknownKind: r.UnknownKind, parts: parts.String(),
		kind: r.Kind, timeout: r.Timeout, goal: r.Goal, rank: r.Rank, maxBackends: r.MaxBackends,
	}
}

// DiffConfigurations returns the delta from one configuration to another one. Routes that both have
// are not carried, wherever they stand.
func DiffConfigurations(before, after *Configuration) *ConfigurationDelta {
	positions := make(map[routeKey]int, len(before.Routes))
	for i := range before.Routes {
		positions[keyOf(&before.Routes[i])] = i
	}
	d := &ConfigurationDelta{Version: after.Version, Services: after.Services, MaxBodyBytes: after.MaxBodyBytes}
	for i := range after.Routes {
		d.addRoute(positions, &after.Routes[i])
	}
	return d
}

// addRoute appends a route. positions has those of the earlier configuration.
func (d *ConfigurationDelta) addRoute(positions map[routeKey]int, r *Route) {
	if len(d.Spans) == 0 {
		d.Spans = append(d.Spans, RouteSpan{})
	}
	last := &d.Spans[len(d.Spans)-1]
	position, known := positions[keyOf(r)]
	switch {
	case !known:
		last.Added = append(last.Added, *r)
	case len(last.Added) > 0 || last.Count > 0 && position != last.From+last.Count:
		d.Spans = append(d.Spans, RouteSpan{From: position, Count: 1})
	case last.Count > 0:
		last.Count++
	default:
		last.From, last.Count = position, 1
	}
}

// Apply returns the configuration that the delta makes of an earlier one, which it does not change.
func (d *ConfigurationDelta) Apply(before *Configuration) (*Configuration, error) {
	out := &Configuration{Version: d.Version, Services: d.Services, MaxBodyBytes: d.MaxBodyBytes}
	for i := range d.Spans {
		span := &d.Spans[i]
		if span.From < 0 || span.Count < 0 || span.From > len(before.Routes) || span.Count > len(before.Routes)-span.From {
			return nil, errDeltaMismatch
		}
		out.Routes = append(out.Routes, before.Routes[span.From:span.From+span.Count]...)
		out.Routes = append(out.Routes, span.Added...)
	}
	return out, nil
}
