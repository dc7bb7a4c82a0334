package measure

import (
	"fmt"
	"os"
	"slices"
	"strconv"
	"strings"
	"syscall"
	"time"

	"github.com/integrii/flaggy"

	"github.com/cowsliprun/cowsliprun/internal/configsync"
)

const (
	readyTimeout  = 3 * time.Minute
	changeTimeout = time.Minute
	// changesPerDay is the design's rate of change.
	changesPerDay = 910
)

// options of a measurement.
type options struct {
	sizes                                 string
	changes, buckets, fanout, dataCentres int
	idle                                  time.Duration
}

// Main runs the measurement for each size and prints its figures. It returns the exit code.
func Main() int {
	o := options{sizes: "3,30,150", changes: 30, buckets: contractBuckets, fanout: configsync.DefaultFanout, dataCentres: 7, idle: 30 * time.Second}
	flaggy.SetName("measure-configsync")
	flaggy.SetDescription("Measures the propagation of configuration over loopback sockets.")
	flaggy.String(&o.sizes, "n", "nodes", "Numbers of daemons, separated by commas.")
	flaggy.Int(&o.changes, "c", "changes", "Changes per size.")
	flaggy.Duration(&o.idle, "i", "idle", "Time without changes to measure.")
	flaggy.Int(&o.buckets, "b", "buckets", "Contract buckets.")
	flaggy.Int(&o.fanout, "f", "fanout", "Peers offered a change.")
	flaggy.Int(&o.dataCentres, "d", "datacentres", "Data centres, which take turns between two regions.")
	flaggy.Parse()
	if o.changes < 1 || o.buckets < 1 || o.buckets > contractBuckets || o.dataCentres < 1 || o.idle <= 0 {
		fmt.Fprintln(os.Stderr, "changes, buckets (up to 512), datacentres and idle must be positive")
		return 1
	}
	for text := range strings.SplitSeq(o.sizes, ",") {
		n, err := strconv.Atoi(text)
		if err == nil {
			err = measure(n, o)
		}
		if err != nil {
			fmt.Fprintf(os.Stderr, "measurement with %s daemons: %v\n", text, err)
			return 1
		}
	}
	return 0
}

// sample is a reading of all counters.
type sample struct {
	at     time.Time
	peers  uint64
	reads  uint64
	calls  uint64
	cpu    time.Duration
	counts configsync.Counts
}

func (f *fleet) sample() sample {
	s := sample{at: time.Now(), cpu: processorTime()}
	for _, nd := range f.nodes {
		s.peers += nd.peers.total()
		s.reads += nd.reads.total()
		c := nd.runner.Status().Counts
		s.counts.Exchanges += c.Exchanges
		s.counts.ExchangesDiffering += c.ExchangesDiffering
		s.counts.OffersSent += c.OffersSent
		s.counts.OffersWanted += c.OffersWanted
		s.counts.ValuesStored += c.ValuesStored
		s.counts.ValuesRepeated += c.ValuesRepeated
	}
	stats := f.standin.Stats()
	s.calls = stats.Value + stats.Changes + stats.VMs
	return s
}

func measure(n int, o options) error {
	f, err := newFleet(n, o)
	if err != nil {
		return err
	}
	defer f.close()
	start := f.sample()
	ready, err := f.waitReady(readyTimeout)
	if err != nil {
		return err
	}
	loaded := f.sample()
	fmt.Printf("n=%d cold start: ready %.1f s, platform calls %d, peer bytes per daemon %d, processor per daemon %.0f ms\n",
		n, ready.Seconds(), loaded.calls-start.calls, (loaded.peers-start.peers)/uint64(n), ms(loaded.cpu-start.cpu)/float64(n))
	time.Sleep(5 * time.Second) // lets the last exchanges of the start end
	before := f.sample()
	time.Sleep(o.idle)
	quiet := f.sample()
	idleBytes := f.report("idle", before, quiet)
	var all, worst []time.Duration
	for i := range o.changes {
		times, err := f.change(i*7%o.buckets, i+1, changeTimeout)
		if err != nil {
			return err
		}
		all = append(all, times...)
		worst = append(worst, slices.Max(times))
	}
	time.Sleep(2 * configsync.RepairInterval) // repairs that the changes caused belong to them
	after := f.sample()
	changeBytes := f.report("changes", quiet, after)
	slices.Sort(all)
	slices.Sort(worst)
	seconds := after.at.Sub(quiet.at).Seconds()
	perChange := (changeBytes - idleBytes) * seconds / float64(o.changes)
	fmt.Printf("n=%d in force: p50 %.0f ms, p99 %.0f ms, everywhere p50 %.0f ms, max of %d changes %.0f ms\n",
		n, ms(quantile(all, 0.5)), ms(quantile(all, 0.99)), ms(quantile(worst, 0.5)), o.changes, ms(worst[len(worst)-1]))
	fmt.Printf("n=%d bytes per change and daemon (sent and received) %.0f; at %d changes a day %.0f B/s beside %.0f B/s idle\n",
		n, perChange, changesPerDay, perChange*changesPerDay/86400, idleBytes)
	return nil
}

// report prints the rates between two samples and returns the bytes a second per daemon, sent and received.
func (f *fleet) report(phase string, a, b sample) float64 {
	n, seconds := float64(len(f.nodes)), b.at.Sub(a.at).Seconds()
	peers := float64(b.peers-a.peers) / n / seconds
	reads := float64(b.reads-a.reads) / n / seconds
	fmt.Printf("n=%d %s: peers %.0f B/s and platform %.0f B/s per daemon (sent and received), platform calls %.2f/s, processor %.2f ms/s per daemon\n",
		len(f.nodes), phase, peers, reads, float64(b.calls-a.calls)/seconds, ms(b.cpu-a.cpu)/n/seconds)
	fmt.Printf("n=%d %s: exchanges %d differing %d, offers %d wanted %d, values stored %d repeated %d\n", len(f.nodes), phase,
		b.counts.Exchanges-a.counts.Exchanges, b.counts.ExchangesDiffering-a.counts.ExchangesDiffering,
		b.counts.OffersSent-a.counts.OffersSent, b.counts.OffersWanted-a.counts.OffersWanted,
		b.counts.ValuesStored-a.counts.ValuesStored, b.counts.ValuesRepeated-a.counts.ValuesRepeated)
	return peers + reads
}

func ms(d time.Duration) float64 { return float64(d) / float64(time.Millisecond) }

func quantile(sorted []time.Duration, q float64) time.Duration {
	return sorted[min(int(q*float64(len(sorted))), len(sorted)-1)]
}

func processorTime() time.Duration {
	var usage syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &usage); err != nil {
		return 0
	}
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
}
