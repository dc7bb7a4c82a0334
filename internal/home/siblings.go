package home

import (
	"cmp"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/cowsliprun/cowsliprun/internal/catalog"
	"github.com/cowsliprun/cowsliprun/internal/ejection"
	"github.com/cowsliprun/cowsliprun/internal/peerapi"
)

// At the size to design for an entry sends 0.08 requests a second to a service, too few to know its normal service time. Homes
// see all requests to their backend servers, so each home asks the homes of a few siblings.
const (
	// siblingSample is the number of siblings that one backend server is compared with. Their median withstands two that are
	// sick. A home with more than manyMembers backend servers uses siblingSampleMany, to keep its rounds short.
	siblingSample     = 5
	siblingSampleMany = 4
	manyMembers       = 6
	// compareMinInterval is the time between two rounds of a home with few peers.
	compareMinInterval = time.Second
	// compareBytes is the size of one exchange on an open connection, headers included; cmd/measure-capacity showed 87 B. Each
	// exchange is paid twice, by the one that asks and the one that answers. compareBudget is what comparisons may use of the
	// control budget of 4 KB a second; a home with many peers makes longer rounds.
	compareBytes  = 100
	compareBudget = 2000 // bytes a second
	// minCompareBudget is what comparisons get when other control messages use up the budget: rounds are then 9.6 s at the
	// size to design for, just within baselineLife.
	minCompareBudget = 1000 // bytes a second
	// A baseline is handed on again each second until the next round, for at most baselineLife: rounds of a home with many
	// peers are longer than the age at which the detector forgets a baseline.
	handOnEvery  = time.Second
	baselineLife = 10 * time.Second
	// siblingSource names the baseline that comes from siblings, beside those of entries.
	siblingSource = "siblings"
)

// Comparison is one request to the daemon of a VM for summaries of its backend servers.
type Comparison struct {
	VM             string
	BackendServers []string
}

// comparer decides whom to ask, and gathers the replies.
type comparer struct {
	random *rand.Rand
	next   time.Time
	// asked maps each local backend server to the siblings of the current round.
	asked map[string][]string
	heard map[string]Summary
	// levels holds the last baseline of each local backend server.
	levels   map[string]level
	handedOn time.Time
	budget   int
}

type level struct {
	at       time.Time
	baseline ejection.Baseline
}

func newComparer(seed uint64) comparer {
	return comparer{random: rand.New(rand.NewPCG(seed, seed)), asked: map[string][]string{}, heard: map[string]Summary{}, levels: map[string]level{}, budget: compareBudget}
}

// Compare ends the round of comparisons when it is over, and returns the requests of the next one.
func (h *Home) Compare(now time.Time, snapshot *catalog.Snapshot) []Comparison {
	h.compareMu.Lock()
	defer h.compareMu.Unlock()
	if now.Sub(h.comparer.handedOn) >= handOnEvery {
		h.handOn(now)
	}
	if now.Before(h.comparer.next) || snapshot == nil {
		return nil
	}
	h.finishRound(now)
	var list []Comparison
	members := h.active()
	sample := siblingSample
	if len(members) > manyMembers {
		sample = siblingSampleMany
	}
	for _, m := range members {
		if svc := snapshot.Service(m.service); svc != nil {
			list = h.planComparison(list, m, svc, sample)
		}
	}
	h.comparer.next = now.Add(compareInterval(len(list), h.comparer.budget))
	return list
}

// SetCompareBudget sets what comparisons may use, in bytes a second, within their bounds.
func (h *Home) SetCompareBudget(bytes int) {
	h.compareMu.Lock()
	defer h.compareMu.Unlock()
	h.comparer.budget = min(max(bytes, minCompareBudget), compareBudget)
}

// CompareBytes returns what one comparison costs both daemons together.
func CompareBytes(comparisons uint64) uint64 { return 2 * compareBytes * comparisons }

// compareInterval keeps the comparisons of one home within their part of the control budget.
func compareInterval(messages, budget int) time.Duration {
	needed := time.Duration(float64(2*messages*compareBytes) / float64(budget) * float64(time.Second))
	return max(needed, compareMinInterval)
}

// planComparison picks siblings of the own region, and of the other one when the region has too few for a median.
func (h *Home) planComparison(list []Comparison, m *member, svc *catalog.Service, sample int) []Comparison {
	var siblings []*catalog.BackendServer
	region := ""
	for _, b := range svc.BackendServers {
		if b.ID == m.id {
			region = b.VM.Locality.Region
			continue
		}
		siblings = append(siblings, b)
	}
	h.comparer.random.Shuffle(len(siblings), func(i, j int) { siblings[i], siblings[j] = siblings[j], siblings[i] })
	slices.SortStableFunc(siblings, func(a, b *catalog.BackendServer) int {
		return cmp.Compare(otherRegion(a, region), otherRegion(b, region))
	})
	ids := h.comparer.asked[m.id][:0]
	for _, b := range siblings[:min(len(siblings), sample)] {
		ids = append(ids, b.ID)
		if b.VM.ID != h.vm {
			list = addComparison(list, b.VM.ID, b.ID)
		}
	}
	h.comparer.asked[m.id] = ids
	return list
}

func otherRegion(b *catalog.BackendServer, region string) int {
	if b.VM.Locality.Region == region {
		return 0
	}
	return 1
}

func addComparison(list []Comparison, vm, backend string) []Comparison {
	for i := range list {
		if list[i].VM == vm {
			if !slices.Contains(list[i].BackendServers, backend) {
				list[i].BackendServers = append(list[i].BackendServers, backend)
			}
			return list
		}
	}
	return append(list, Comparison{VM: vm, BackendServers: []string{backend}})
}

// Compared takes the reply of one daemon.
func (h *Home) Compared(msg *peerapi.CompareResponse) {
	h.compareMu.Lock()
	defer h.compareMu.Unlock()
	for _, s := range msg.GetSummaries() {
		h.comparer.heard[s.GetBackendServer()] = Summary{
			Median:     time.Duration(s.GetMedianUs()) * time.Microsecond,
			ErrorShare: float64(s.GetErrorsPpm()) / 1e6,
			Samples:    int(s.GetSamples()),
		}
	}
}

// finishRound takes the medians over the siblings that answered. The caller holds compareMu.
func (h *Home) finishRound(now time.Time) {
	for _, m := range h.active() {
		var medians []time.Duration
		var shares []float64
		for _, id := range h.comparer.asked[m.id] {
			s, ok := h.comparer.heard[id]
			if local := h.member(id); local != nil {
				s, ok = local.summary(now)
			}
			if ok {
				medians = append(medians, s.Median)
				shares = append(shares, s.ErrorShare)
			}
		}
		if len(medians) == 0 {
			continue
		}
		slices.Sort(medians)
		slices.Sort(shares)
		h.comparer.levels[m.id] = level{now, ejection.Baseline{
			Median: medians[len(medians)/2], ErrorShare: mean(shares), Members: len(medians),
		}}
	}
	clear(h.comparer.heard)
	h.handOn(now)
}

// handOn gives each life cycle the level of the last round. The caller holds compareMu.
func (h *Home) handOn(now time.Time) {
	h.comparer.handedOn = now
	for id, l := range h.comparer.levels {
		m := h.member(id)
		if m == nil || now.Sub(l.at) > baselineLife {
			delete(h.comparer.levels, id)
			continue
		}
		m.mu.Lock()
		m.life.Baseline(now, siblingSource, l.baseline)
		m.mu.Unlock()
	}
}

// mean leaves out the largest share, which may be that of a sick sibling. A median of shares would be 0 at low request rates,
// and each rare error would look like a fault.
func mean(sorted []float64) float64 {
	if len(sorted) > 1 {
		sorted = sorted[:len(sorted)-1]
	}
	sum := 0.0
	for _, share := range sorted {
		sum += share
	}
	return sum / float64(len(sorted))
}

func (m *member) summary(now time.Time) (Summary, bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.recent.summary(now)
}

// Summaries answers a comparison of another home. Backend servers that are not in normal service are left out: what they
// show now is not the normal level.
func (h *Home) Summaries(now time.Time, ids []string) *peerapi.CompareResponse {
	out := &peerapi.CompareResponse{}
	for _, id := range ids {
		m := h.member(id)
		if m == nil || m.state(now).Mode != ejection.Active {
			continue
		}
		s, ok := m.summary(now)
		if !ok {
			continue
		}
		out.Summaries = append(out.Summaries, &peerapi.Summary{
			BackendServer: id, MedianUs: uint32(min(s.Median.Microseconds(), 1<<32-1)),
			ErrorsPpm: uint32(s.ErrorShare * 1e6), Samples: uint32(s.Samples),
		})
	}
	return out
}
