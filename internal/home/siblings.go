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

// At the design size an entry sends 0.08 requests a second to a service. That is too few to know
// its baseline. A home sees all requests to its backend servers, so each home asks the homes of a
// few siblings.
const (
	// siblingSampleSize is the number of siblings that one backend server is compared with. Their
	// median tolerates two bad ones. A home with more than reducedSampleAbove backend servers uses
	// reducedSampleSize, to keep its rounds short.
	siblingSampleSize  = 5
	reducedSampleSize  = 4
	reducedSampleAbove = 6
	// minCompareInterval is the time between two rounds of a home with few peers.
	minCompareInterval = time.Second
	// comparisonBytes is the size of one exchange on an open connection, headers included;
	// cmd/measure-capacity showed 87 B. Each exchange counts twice, for the daemon that asks and
	// the one that answers. maxCompareBudget is the part of the control budget of 4 KB a second
	// that comparisons may use. A home with many peers makes longer rounds.
	comparisonBytes  = 100
	maxCompareBudget = 2000 // bytes a second
	// minCompareBudget is the budget when other control messages use up the rest. Rounds then take
	// 9.6 s at the design size, just within baselineMaxAge.
	minCompareBudget = 1000 // bytes a second
	// A baseline is passed to the life cycle again every baselineRepeatInterval until the next
	// round, for at most baselineMaxAge. Rounds of a home with many peers are longer than the age
	// at which the detector drops a baseline.
	baselineRepeatInterval = time.Second
	baselineMaxAge         = 10 * time.Second
	// siblingSource names the baseline from siblings, as those of entries are named after the
	// entry.
	siblingSource = "siblings"
)

// Comparison is one request to the daemon of a VM for summaries of its backend servers.
type Comparison struct {
	VM             string
	BackendServers []string
}

// comparer chooses the siblings to ask and collects their summaries, in rounds. Home.compareMu
// guards it.
type comparer struct {
	random    *rand.Rand
	nextRound time.Time
	// sampled maps each local backend server to its siblings in the current round.
	sampled map[string][]string
	// summaries holds the summaries received in the current round, by backend server.
	summaries map[string]Summary
	// baselines holds the last baseline of each local backend server.
	baselines map[string]timedBaseline
	// distributedAt is when the baselines were last passed to the life cycles.
	distributedAt time.Time
	// budget is what comparisons may use, in bytes a second.
	budget int
}

// timedBaseline is a baseline and the end of the round that it comes from.
type timedBaseline struct {
	at       time.Time
	baseline ejection.Baseline
}

func newComparer(seed uint64) comparer {
	return comparer{random: rand.New(rand.NewPCG(seed, seed)), sampled: map[string][]string{}, summaries: map[string]Summary{}, baselines: map[string]timedBaseline{}, budget: maxCompareBudget}
}

// NextComparisons ends the current round of comparisons if its time is over, and returns the
// requests of the next one. It returns nil between rounds. Call it every TickInterval.
func (h *Home) NextComparisons(now time.Time, snapshot *catalog.Snapshot) []Comparison {
	h.compareMu.Lock()
	defer h.compareMu.Unlock()
	if now.Sub(h.comparer.distributedAt) >= baselineRepeatInterval {
		h.distributeBaselines(now)
	}
	if now.Before(h.comparer.nextRound) || snapshot == nil {
		return nil
	}
	h.finishRound(now)
	var list []Comparison
	members := h.activeMembers()
	sampleSize := siblingSampleSize
	if len(members) > reducedSampleAbove {
		sampleSize = reducedSampleSize
	}
	for _, m := range members {
		if svc := snapshot.Service(m.service); svc != nil {
			list = h.sampleSiblings(list, m, svc, sampleSize)
		}
	}
	h.comparer.nextRound = now.Add(compareInterval(len(list), h.comparer.budget))
	return list
}

// SetCompareBudget sets how many bytes a second comparisons may use. Values are limited to the
// range from minCompareBudget to maxCompareBudget.
func (h *Home) SetCompareBudget(bytes int) {
	h.compareMu.Lock()
	defer h.compareMu.Unlock()
	h.comparer.budget = min(max(bytes, minCompareBudget), maxCompareBudget)
}

// CompareBytes returns the bytes that comparisons cost both daemons together.
func CompareBytes(comparisons uint64) uint64 { return 2 * comparisonBytes * comparisons }

// compareInterval returns the length of a round that keeps its messages within the budget, in bytes
// a second.
func compareInterval(messages, budget int) time.Duration {
	needed := time.Duration(float64(2*messages*comparisonBytes) / float64(budget) * float64(time.Second))
	return max(needed, minCompareInterval)
}

// sampleSiblings chooses random siblings of a member for the next round and adds the remote ones to
// list. Siblings in the same region are preferred; others are used if there are too few for a
// median. The caller holds compareMu.
func (h *Home) sampleSiblings(list []Comparison, m *member, svc *catalog.Service, size int) []Comparison {
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
		return cmp.Compare(regionRank(a, region), regionRank(b, region))
	})
	ids := h.comparer.sampled[m.id][:0]
	for _, b := range siblings[:min(len(siblings), size)] {
		ids = append(ids, b.ID)
		if b.VM.ID != h.vm {
			list = addComparison(list, b.VM.ID, b.ID)
		}
	}
	h.comparer.sampled[m.id] = ids
	return list
}

// regionRank returns 0 for a backend server in the region and 1 for another one.
func regionRank(b *catalog.BackendServer, region string) int {
	if b.VM.Locality.Region == region {
		return 0
	}
	return 1
}

// addComparison adds a backend server to the request for its VM, once.
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

// HandleCompareResponse takes the reply of one daemon to a Comparison.
func (h *Home) HandleCompareResponse(msg *peerapi.CompareResponse) {
	h.compareMu.Lock()
	defer h.compareMu.Unlock()
	for _, s := range msg.GetSummaries() {
		h.comparer.summaries[s.GetBackendServer()] = Summary{
			Median:     time.Duration(s.GetMedianUs()) * time.Microsecond,
			ErrorShare: float64(s.GetErrorsPpm()) / 1e6,
			Samples:    int(s.GetSamples()),
		}
	}
}

// finishRound computes the baselines from the siblings that answered. Siblings on the same VM are
// read directly. The caller holds compareMu.
func (h *Home) finishRound(now time.Time) {
	for _, m := range h.activeMembers() {
		var medians []time.Duration
		var shares []float64
		for _, id := range h.comparer.sampled[m.id] {
			s, ok := h.comparer.summaries[id]
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
		h.comparer.baselines[m.id] = timedBaseline{now, ejection.Baseline{
			Median: medians[len(medians)/2], ErrorShare: trimmedMean(shares), Members: len(medians),
		}}
	}
	clear(h.comparer.summaries)
	h.distributeBaselines(now)
}

// distributeBaselines passes the baseline of the last round to each life cycle. The caller holds
// compareMu.
func (h *Home) distributeBaselines(now time.Time) {
	h.comparer.distributedAt = now
	for id, last := range h.comparer.baselines {
		m := h.member(id)
		if m == nil || now.Sub(last.at) > baselineMaxAge {
			delete(h.comparer.baselines, id)
			continue
		}
		m.mu.Lock()
		m.lifecycle.Baseline(now, siblingSource, last.baseline)
		m.mu.Unlock()
	}
}

// trimmedMean returns the mean without the largest share, which may be that of a bad sibling. A
// median would be 0 at low request rates, and each rare error would look like a fault.
func trimmedMean(sorted []float64) float64 {
	if len(sorted) > 1 {
		sorted = sorted[:len(sorted)-1]
	}
	sum := 0.0
	for _, share := range sorted {
		sum += share
	}
	return sum / float64(len(sorted))
}

// summary describes the recent requests, and returns false if there were too few.
func (m *member) summary(now time.Time) (Summary, bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.recent.summary(now)
}

// Summaries answers a comparison of another home. Backend servers that are unknown, that are not in
// mode Active or that had too few requests are left out. What a backend server shows in another
// mode is no part of a baseline.
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
