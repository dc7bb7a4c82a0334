package daemon

import (
	"time"

	"github.com/cowsliprun/cowsliprun/internal/retry"
	"github.com/cowsliprun/cowsliprun/internal/settings"
)

// The registry's settings bound the retries of the whole fleet, and the daemons share no counter.
// Each therefore keeps to its own part.
const (
	// fleetRetryShare is the part of the fleet's retry budget that daemons use.
	// rerunRetryShare is the part of that for requests that may have run before. The rest is left
	// because a repeated run repeats its calls to other services too. These count as retries at the
	// called service, and no daemon can tell them from first requests.
	fleetRetryShare = 0.75
	rerunRetryShare = 0.4
	// fleetSlackShare is the part of the slack that all daemons together may use in a burst.
	// idleSlackShare is the part that they gain in one window without any traffic.
	fleetSlackShare = 0.3
	idleSlackShare  = 0.15
	// initialBurstShare is the part of its burst that a daemon starts with. It keeps the fleet
	// within the slack when all daemons have just started.
	initialBurstShare = 0.5
)

// registryRetryOptions are the options of the retry budgets. Burst holds until the number of
// daemons is known.
var registryRetryOptions = retry.Options{
	Burst: 1, MinRetryInterval: maxIdleRetryInterval, FreeRefusals: true, RerunShare: rerunRetryShare, InitialShare: initialBurstShare, BorrowFromHomes: true,
}

// retryPercent returns the percentage of its requests that a daemon may retry.
func retryPercent(fleetRatio float64) int { return int(100 * fleetRetryShare * fleetRatio) }

// retryLimits returns the number of retries that one of the daemons may make at once, at least 1,
// and the time in which it gains one retry without traffic.
func retryLimits(r *settings.Registry, daemons int) (burst float64, idleInterval time.Duration) {
	part := r.RetrySlack / float64(max(1, daemons))
	burst = max(1, fleetSlackShare*part)
	if part <= 0 {
		return burst, maxIdleRetryInterval
	}
	windows := 1 / (idleSlackShare * part)
	return burst, min(time.Duration(windows*float64(r.RetryWindow)), maxIdleRetryInterval)
}

// maxIdleRetryInterval bounds the idle interval of a fleet with little or no slack.
const maxIdleRetryInterval = time.Minute
