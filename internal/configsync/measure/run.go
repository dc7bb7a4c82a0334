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
	// changesPerDay is the rate of configuration changes that the design assumes.
	changesPerDay = 910
)

// options are the flags. fleetSizes lists numbers of daemons, separated by commas.
type options struct {
	fleetSizes                            string
	changes, buckets, fanout, dataCentres int
	idle                                  time.Duration
}

// Main parses the command line, measures a fleet of each size and prints the results. It returns
// the exit status.
func Main() int {
	o := options{fleetSizes: "3,30,150", changes: 30, buckets: contractBuckets, fanout: configsync.DefaultFanout, dataCentres: 7, idle: 30 * time.Second}
	flaggy.SetName("measure-configsync")
	flaggy.SetDescription("Measures the propagation of configuration over loopback sockets.")
	flaggy.String(&o.fleetSizes, "n", "nodes", "Numbers of daemons, separated by commas.")
	flaggy.Int(&o.changes, "c", "changes", "Configuration changes to measure per fleet size.")
	flaggy.Duration(&o.idle, "i", "idle", "Length of the measurement without changes.")
	flaggy.Int(&o.buckets, "b", "buckets", "Number of contract buckets, at most 512.")
	flaggy.Int(&o.fanout, "f", "fanout", "Number of peers that a daemon offers a change to.")
	flaggy.Int(&o.dataCentres, "d", "datacentres", "Number of data centres, assigned to two regions in turn.")
	flaggy.Parse()
	if o.changes < 1 || o.buckets < 1 || o.buckets > contractBuckets || o.dataCentres < 1 || o.idle <= 0 {
		fmt.Fprintln(os.Stderr, "--changes, --buckets, --datacentres and --idle must be positive, --buckets at most 512")
		return 1
	}
	for size := range strings.SplitSeq(o.fleetSizes, ",") {
		n, err := strconv.Atoi(size)
		if err == nil {
			err = measureFleet(n, o)
		}
		if err != nil {
			fmt.Fprintf(os.Stderr, "measurement with %s daemons: %v\n", size, err)
			return 1
		}
	}
	return 0
}

// sample is a reading of all counters, summed over the daemons. cpuTime is that of the process.
type sample struct {
	at            time.Time
	peerBytes     uint64
	platformBytes uint64
	platformCalls uint64
	cpuTime       time.Duration
	counts        configsync.Counts
}

func (f *fleet) sample() sample {
	s := sample{at: time.Now(), cpuTime: cpuTime()}
	for _, d := range f.daemons {
		s.peerBytes += d.peerTraffic.total()
		s.platformBytes += d.platformTraffic.total()
		c := d.runner.Status().Counts
		s.counts.Exchanges += c.Exchanges
		s.counts.ExchangesDiffering += c.ExchangesDiffering
		s.counts.OffersSent += c.OffersSent
		s.counts.OffersWanted += c.OffersWanted
		s.counts.ValuesStored += c.ValuesStored
		s.counts.ValuesRepeated += c.ValuesRepeated
	}
	stats := f.platformStandin.Stats()
	s.platformCalls = stats.Value + stats.Changes + stats.VMs
	return s
}

func measureFleet(n int, o options) error {
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
		n, ready.Seconds(), loaded.platformCalls-start.platformCalls, (loaded.peerBytes-start.peerBytes)/uint64(n), ms(loaded.cpuTime-start.cpuTime)/float64(n))
	time.Sleep(5 * time.Second) // so that the last exchanges of the start do not count as idle
	before := f.sample()
	time.Sleep(o.idle)
	quiet := f.sample()
	idleBytes := f.report("idle", before, quiet)
	var all, slowest []time.Duration
	for i := range o.changes {
		times, err := f.measureChange(i*7%o.buckets, i+1, changeTimeout)
		if err != nil {
			return err
		}
		all = append(all, times...)
		slowest = append(slowest, slices.Max(times))
	}
	time.Sleep(2 * configsync.RepairInterval) // includes the repairs that the changes caused
	after := f.sample()
	changeBytes := f.report("changes", quiet, after)
	slices.Sort(all)
	slices.Sort(slowest)
	seconds := after.at.Sub(quiet.at).Seconds()
	perChange := (changeBytes - idleBytes) * seconds / float64(o.changes)
	fmt.Printf("n=%d in force: p50 %.0f ms, p99 %.0f ms, everywhere p50 %.0f ms, max of %d changes %.0f ms\n",
		n, ms(quantile(all, 0.5)), ms(quantile(all, 0.99)), ms(quantile(slowest, 0.5)), o.changes, ms(slowest[len(slowest)-1]))
	fmt.Printf("n=%d bytes per change and daemon (sent and received) %.0f; at %d changes a day %.0f B/s beside %.0f B/s idle\n",
		n, perChange, changesPerDay, perChange*changesPerDay/86400, idleBytes)
	return nil
}

// report prints the rates between two samples. It returns the bytes per second and daemon, sent and
// received.
func (f *fleet) report(phase string, from, to sample) float64 {
	n, seconds := float64(len(f.daemons)), to.at.Sub(from.at).Seconds()
	peerRate := float64(to.peerBytes-from.peerBytes) / n / seconds
	platformRate := float64(to.platformBytes-from.platformBytes) / n / seconds
	fmt.Printf("n=%d %s: peers %.0f B/s and platform %.0f B/s per daemon (sent and received), platform calls %.2f/s, processor %.2f ms/s per daemon\n",
		len(f.daemons), phase, peerRate, platformRate, float64(to.platformCalls-from.platformCalls)/seconds, ms(to.cpuTime-from.cpuTime)/n/seconds)
	fmt.Printf("n=%d %s: exchanges %d differing %d, offers %d wanted %d, values stored %d repeated %d\n", len(f.daemons), phase,
		to.counts.Exchanges-from.counts.Exchanges, to.counts.ExchangesDiffering-from.counts.ExchangesDiffering,
		to.counts.OffersSent-from.counts.OffersSent, to.counts.OffersWanted-from.counts.OffersWanted,
		to.counts.ValuesStored-from.counts.ValuesStored, to.counts.ValuesRepeated-from.counts.ValuesRepeated)
	return peerRate + platformRate
}

func ms(d time.Duration) float64 { return float64(d) / float64(time.Millisecond) }

// quantile returns the quantile q of a sorted slice, which must not be empty.
func quantile(sorted []time.Duration, q float64) time.Duration {
	return sorted[min(int(q*float64(len(sorted))), len(sorted)-1)]
}

func cpuTime() time.Duration {
	var usage syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &usage); err != nil {
		return 0
	}
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
}
