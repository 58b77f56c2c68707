package routing

import (
	"math"
	"slices"
	"time"

	"github.com/cyclamentray/cyclamentray/kvstore"
)

const (
	latencyWeight         = 0.05                   // weight of a new latency in the moving average
	latencyExcessHalfLife = 20 * time.Second       // an unused estimate's excess over the best halves in this time
	remoteCostFactor      = 1.5                    // a remote runner must be this much faster than a local one
	remoteRoundTrip       = 2 * time.Millisecond   // round trip to another failure domain
	firstBackoff          = 500 * time.Millisecond // after a runner's first failure
	maxBackoff            = 30 * time.Second
	serverErrorLimit      = 5                     // consecutive 5xx answers that count as failing
	leavingTimeout        = 30 * time.Second      // no requests after a runner's own sign of leaving, unless it was gone meanwhile
	probeInterval         = time.Second           // between probes of a runner that is leaving or does not answer
	fullBackoff           = 20 * time.Millisecond // no requests after a runner said that it is full
	shareGrowthDelay      = 3 * time.Second       // before slots of a host that is gone are used
)

// upstreamState is what the core knows about one upstream.
type upstreamState struct {
	host           kvstore.Host
	local          bool // in this entry host's failure domain
	outOfService   bool // its failure domain is taken out
	share          int  // slots that this entry host may use
	pendingShare   int  // share after growAt, when it grows
	pendingShareAt time.Time
	inFlight       map[uint64]time.Time // ticket in flight to its start

	latencySeconds          float64 // moving average in seconds
	samples                 int
	measuredAt              time.Time
	consecutiveFailures     int // consecutive
	consecutiveServerErrors int // consecutive 5xx answers
	blockedUntil            time.Time
	halfOpen                bool // after a failure: one request at a time until one succeeds
	probeRequired           bool // no requests until a probe succeeds
	probeInFlight           bool
	leavingUntil            time.Time // set by the runner's own sign of leaving
	wentDown                bool      // a probe failed since that sign
}

// setShare shrinks at once and grows only after a delay, in which the requests
// of a host that has just gone may still be running on the upstream.
func (r *upstreamState) setShare(now time.Time, share int, known bool) {
	if !known || share <= r.share {
		r.share = share
		r.pendingShareAt = time.Time{}
		return
	}
	if r.pendingShareAt.IsZero() {
		r.pendingShareAt = now.Add(shareGrowthDelay)
	}
	r.pendingShare = share
}

func (r *upstreamState) applyPendingShare(now time.Time) {
	if !r.pendingShareAt.IsZero() && !now.Before(r.pendingShareAt) {
		r.share = r.pendingShare
		r.pendingShareAt = time.Time{}
	}
}

// usable reports whether new requests may go to the runner at all.
func (r *upstreamState) usable() bool { return !r.outOfService && !r.host.Leaving && r.share > 0 }

// available reports whether one more request may go to the runner now.
func (r *upstreamState) available(now time.Time) bool {
	if !r.usable() || r.probeRequired || now.Before(r.blockedUntil) {
		return false
	}
	if r.halfOpen {
		return len(r.inFlight) == 0
	}
	return len(r.inFlight) < r.share
}

// expectedServiceSeconds returns the seconds that a request is expectedServiceSeconds to take. best is the
// smallest estimate of the service; it stands in for a runner never tried, and
// an estimate that has gone unused drifts back towards it, so that a runner
// that has recovered is found again.
func (r *upstreamState) expectedServiceSeconds(now time.Time, best float64) float64 {
	if r.samples == 0 {
		return best
	}
	idle := now.Sub(r.measuredAt).Seconds()
	if len(r.inFlight) > 0 {
		idle = 0
	}
	drift := math.Exp2(-idle / latencyExcessHalfLife.Seconds())
	estimate := best + max(0, r.latencySeconds-best)*drift
	return max(estimate, r.oldestInFlightSeconds(now))
}

func (r *upstreamState) oldestInFlightSeconds(now time.Time) float64 {
	age := time.Duration(0)
	for _, start := range r.inFlight {
		age = max(age, now.Sub(start))
	}
	return age.Seconds()
}

// expectedSeconds is the expected time as the caller sees it, in seconds.
func (r *upstreamState) expectedSeconds(now time.Time, best float64) float64 {
	expected := r.expectedServiceSeconds(now, best)
	if r.local {
		return expected
	}
	return expected + remoteRoundTrip.Seconds()
}

// cost is the duration with the preference for the local failure domain.
func (r *upstreamState) cost(now time.Time, best float64) float64 {
	if r.local {
		return r.expectedSeconds(now, best)
	}
	return r.expectedSeconds(now, best) * remoteCostFactor
}

func (r *upstreamState) recordSuccess(now time.Time, latency time.Duration) {
	weight := max(latencyWeight, 1/float64(r.samples+1))
	r.latencySeconds += weight * (latency.Seconds() - r.latencySeconds)
	r.samples++
	r.measuredAt = now
	r.consecutiveFailures = 0
	r.consecutiveServerErrors = 0
	r.halfOpen = false
}

// recordFailure stops new requests for a time that doubles with each failure in a row.
// Requests in flight that recordFailure together count once. jitter is in [0, 1).
func (r *upstreamState) recordFailure(now time.Time, jitter float64) {
	if r.probeRequired {
		return
	}
	pause := firstBackoff << min(r.consecutiveFailures, 10)
	pause = min(pause, maxBackoff)
	pause = pause/2 + time.Duration(jitter*float64(pause/2))
	r.consecutiveFailures++
	r.halfOpen = true
	r.probeRequired = true
	r.blockUntil(now.Add(pause))
}

// markLeaving heeds the runner's own sign that it is leaving.
func (r *upstreamState) markLeaving(now time.Time) {
	r.halfOpen = true
	r.probeRequired = true
	r.wentDown = false
	r.leavingUntil = now.Add(leavingTimeout)
	r.blockUntil(now.Add(probeInterval))
}

func (r *upstreamState) probeDue(now time.Time) bool {
	return r.probeRequired && !r.probeInFlight && r.usable() && !now.Before(r.blockedUntil)
}

// recordProbe takes a probe's end into account. A runner that was leaving is taken
// back once it was gone and answers again, or after leaveHold.
func (r *upstreamState) recordProbe(now time.Time, alive, closing bool, jitter float64) {
	r.probeInFlight = false
	leaving := !r.leavingUntil.IsZero()
	switch {
	case !alive && leaving:
		r.wentDown = true
		r.blockUntil(now.Add(probeInterval))
	case !alive:
		pause := probeInterval/2 + time.Duration(jitter*float64(probeInterval/2))
		r.blockUntil(now.Add(pause))
	case closing:
		r.markLeaving(now)
	case leaving && !r.wentDown && now.Before(r.leavingUntil):
		r.blockUntil(now.Add(probeInterval))
	default:
		r.probeRequired = false
		r.leavingUntil = time.Time{}
	}
}

// blockUntil stops new requests until then; it never shortens an earlier blockUntil.
func (r *upstreamState) blockUntil(until time.Time) {
	if until.After(r.blockedUntil) {
		r.blockedUntil = until
	}
}

// upstreamSet is the ordered set of a service's runners.
type upstreamSet struct {
	states []*upstreamState // ordered by name
}

func (f *upstreamSet) find(name string) *upstreamState {
	i, found := slices.BinarySearchFunc(f.states, name, func(r *upstreamState, n string) int {
		return compareNames(r.host.Name, n)
	})
	if !found {
		return nil
	}
	return f.states[i]
}

// lowestLatencySeconds returns the smallest measured latency in seconds of a usable runner.
func (f *upstreamSet) lowestLatencySeconds() float64 {
	best := math.Inf(1)
	for _, r := range f.states {
		if r.usable() && r.samples > 0 {
			best = min(best, r.latencySeconds)
		}
	}
	if math.IsInf(best, 1) {
		return 0
	}
	return best
}

// completionsPerSecond returns how many requests a second this host's slots complete.
func (f *upstreamSet) completionsPerSecond(now time.Time, best float64) float64 {
	rate := 0.0
	for _, r := range f.states {
		if r.usable() && (len(r.inFlight) > 0 || (!r.probeRequired && !now.Before(r.blockedUntil))) {
			rate += float64(r.share) / max(r.expectedServiceSeconds(now, best), minLatencySeconds)
		}
	}
	return rate
}
