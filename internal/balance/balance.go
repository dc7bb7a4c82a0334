package balance

import (
	"math/rand/v2"
	"sync"
	"time"

	"github.com/cowsliprun/cowsliprun/internal/catalog"
	"github.com/cowsliprun/cowsliprun/internal/errkind"
)

// Options configures a Balancer.
type Options struct {
	// VM is the id of the entry's VM.
	VM string
	// Locality is the region and the data centre of the entry.
	Locality catalog.Locality
	// Random is the source of the random choices.
	Random rand.Source
	// Now is the start time of the process.
	Now time.Time
	// RegionWide treats all data centres of the own region as equally near. It fits deployments
	// whose traffic is distributed otherwise than their backend servers, and whose data centres are
	// near each other.
	RegionWide bool
	// ExcludeAvoided excludes every backend server that should be avoided, however many they are.
	// Only requests with PickRequest.Insist are sent to them. It fits deployments whose requests
	// insist when nothing else is left. By default the floor of the service bounds how many are
	// avoided.
	ExcludeAvoided bool
	// LoadTTL is how long the in-flight counts of other entries are used after they were received.
	// The default is 2 s. It should be about the service time where an entry rarely receives the
	// state of a backend server.
	LoadTTL time.Duration
	// SubsetSize is the number of backend servers of the own region that the entry prefers for a
	// service with more than that. It uses others only if none of these can take a request. It fits
	// fleets in which an entry sends few requests to each backend server. Default: 0, and the entry
	// uses all alike.
	SubsetSize int
}

// Balancer chooses backend servers for the requests of one entry. It is safe for concurrent use.
type Balancer struct {
	vm             string
	locality       catalog.Locality
	regionWide     bool
	excludeAvoided bool
	loadTTL        time.Duration
	subsetSize     int
	start          time.Time
	paths          pathBreakers

	mu       sync.RWMutex
	services map[string]*service
	random   *rand.Rand
}

// New returns a Balancer without any state of services or paths.
func New(o Options) *Balancer {
	random := rand.New(o.Random)
	if o.LoadTTL == 0 {
		o.LoadTTL = stateTTL
	}
	return &Balancer{
		regionWide: o.RegionWide, excludeAvoided: o.ExcludeAvoided, loadTTL: o.LoadTTL, subsetSize: o.SubsetSize,
		vm:       o.VM,
		locality: o.Locality,
		start:    o.Now,
		paths:    pathBreakers{byVM: map[string]*breaker{}, random: rand.New(rand.NewPCG(random.Uint64(), random.Uint64()))},
		services: map[string]*service{},
		random:   random,
	}
}

// PickRequest describes the request that needs a backend server.
type PickRequest struct {
	// Service is the service as the configuration in force defines it.
	Service *catalog.Service
	// Spill allows the other region when the own region has no capacity.
	Spill bool
	// Large is set for a request with a large body or response. It is sent to the nearest backend
	// server with capacity, and to the other region only when the own region has refused it.
	Large bool
	// Exclude holds the IDs of the backend servers that were already tried.
	Exclude []string
	// Only restricts the choice to the backend server with this ID, even if it is in Exclude, unless it
	// is empty.
	Only string
	// Queue treats limits of homes that may not be exceeded as full slots: the home queues what it may
	// not run yet.
	Queue bool
	// Insist also allows backend servers whose homes recently held requests back. With
	// Options.ExcludeAvoided it also allows the avoided ones.
	Insist bool
}

// Choice is a chosen backend server. The request counts as in flight from Pick until the Choice
// ends. The caller ends it by exactly one call of Finished, Refused, Failed, Unconfirmed or
// Abandoned.
type Choice struct {
	Backend *catalog.BackendServer
	// Spilled is set when the backend server is in the other region.
	Spilled bool
	// Readmitted is set when the backend server should be avoided but was used anyway, because of
	// the floor of its service or because the request insisted.
	Readmitted bool
	// Trial is set when the request is the only trial request of a half-open path.
	Trial bool

	service *service
	member  *member
	path    *breaker
	started time.Time
}

// Pick chooses a backend server and counts the request as in flight. Both happen under one lock.
// Otherwise two concurrent requests could take the last slot of a backend server that ramps up. The
// error is of kind NoBackend when there is no candidate, and of kind SlotsFull when there are
// candidates but none may take another request.
func (b *Balancer) Pick(now time.Time, r PickRequest) (Choice, error) {
	s := b.service(r.Service.Name)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.lastUsed = now
	if s.config != r.Service {
		s.reconfigure(now, b, r.Service)
	}
	s.excludeAvoided = b.excludeAvoided
	c := s.choose(now, r, !b.excludeAvoided && b.paths.mostOpen())
	if c.member == nil {
		if c.allAtLimit {
			return Choice{}, errkind.New(errkind.SlotsFull, "all backend servers of "+r.Service.Name+" are at their concurrency limit")
		}
		return Choice{}, errkind.New(errkind.NoBackend, "no backend server of "+r.Service.Name+" can be tried")
	}
	c.member.ownInFlight++
	return Choice{
		Backend: c.member.backend, Spilled: c.member.tier == otherRegion, Readmitted: c.readmitted, Trial: c.trial,
		service: s, member: c.member, path: c.member.path, started: now,
	}, nil
}

// HasCandidate reports whether Pick could choose a backend server. It counts nothing as in flight.
func (b *Balancer) HasCandidate(now time.Time, r PickRequest) bool {
	s := b.service(r.Service.Name)
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.config != r.Service {
		s.reconfigure(now, b, r.Service)
	}
	s.excludeAvoided = b.excludeAvoided
	return s.hasCandidate(now, r, !b.excludeAvoided && b.paths.mostOpen())
}

// service returns the state of a service and creates it when there is none.
func (b *Balancer) service(name string) *service {
	b.mu.RLock()
	s := b.services[name]
	b.mu.RUnlock()
	if s != nil {
		return s
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	if s = b.services[name]; s == nil {
		s = &service{random: rand.New(rand.NewPCG(b.random.Uint64(), b.random.Uint64()))}
		b.services[name] = s
	}
	return s
}

// existingService returns the state of a service, or nil when it has had no recent traffic.
func (b *Balancer) existingService(name string) *service {
	b.mu.RLock()
	defer b.mu.RUnlock()
	return b.services[name]
}

// Expire drops the state of services and paths without recent traffic. Call it every few seconds.
func (b *Balancer) Expire(now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	inUse := map[*breaker]bool{}
	for name, s := range b.services {
		s.mu.Lock()
		if now.Sub(s.lastUsed) >= idleExpiry && s.inFlight() == 0 {
			delete(b.services, name)
		} else {
			for _, m := range s.members {
				inUse[m.path] = true
			}
		}
		s.mu.Unlock()
	}
	b.paths.expire(now, inUse)
}

// Sizes returns the numbers of services and paths that have state.
func (b *Balancer) Sizes() (services, paths int) {
	b.mu.RLock()
	defer b.mu.RUnlock()
	b.paths.mu.Lock()
	defer b.paths.mu.Unlock()
	return len(b.services), len(b.paths.byVM)
}
