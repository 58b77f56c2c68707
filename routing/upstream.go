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
func (u *upstreamState) setShare(now time.Time, share int, known bool) {
	if !known || share <= u.share {
		u.share = share
		u.pendingShareAt = time.Time{}
		return
	}
	if u.pendingShareAt.IsZero() {
		u.pendingShareAt = now.Add(shareGrowthDelay)
	}
	u.pendingShare = share
}

func (u *upstreamState) applyPendingShare(now time.Time) {
	if !u.pendingShareAt.IsZero() && !now.Before(u.pendingShareAt) {
		u.share = u.pendingShare
		u.pendingShareAt = time.Time{}
	}
}

// usable reports whether new requests may go to the runner at all.
func (u *upstreamState) usable() bool { return !u.outOfService && !u.host.Leaving && u.share > 0 }

// available reports whether one more request may go to the runner now.
func (u *upstreamState) available(now time.Time) bool {
	if !u.usable() || u.probeRequired || now.Before(u.blockedUntil) {
		return false
	}
	if u.halfOpen {
		return len(u.inFlight) == 0
	}
	return len(u.inFlight) < u.share
}

// expectedServiceSeconds returns the seconds that a request is expectedServiceSeconds to take. best is the
// smallest estimate of the service; it stands in for a runner never tried, and
// an estimate that has gone unused drifts back towards it, so that a runner
// that has recovered is found again.
func (u *upstreamState) expectedServiceSeconds(now time.Time, lowestLatency float64) float64 {
	if u.samples == 0 {
		return lowestLatency
	}
	idle := now.Sub(u.measuredAt).Seconds()
	if len(u.inFlight) > 0 {
		idle = 0
	}
	decay := math.Exp2(-idle / latencyExcessHalfLife.Seconds())
	estimate := lowestLatency + max(0, u.latencySeconds-lowestLatency)*decay
	return max(estimate, u.oldestInFlightSeconds(now))
}

func (u *upstreamState) oldestInFlightSeconds(now time.Time) float64 {
	age := time.Duration(0)
	for _, start := range u.inFlight {
		age = max(age, now.Sub(start))
	}
	return age.Seconds()
}

// expectedSeconds is the expected time as the caller sees it, in seconds.
func (u *upstreamState) expectedSeconds(now time.Time, lowestLatency float64) float64 {
	expected := u.expectedServiceSeconds(now, lowestLatency)
	if u.local {
		return expected
	}
	return expected + remoteRoundTrip.Seconds()
}

// cost is the duration with the preference for the local failure domain.
func (u *upstreamState) cost(now time.Time, lowestLatency float64) float64 {
	if u.local {
		return u.expectedSeconds(now, lowestLatency)
	}
	return u.expectedSeconds(now, lowestLatency) * remoteCostFactor
}

func (u *upstreamState) recordSuccess(now time.Time, latency time.Duration) {
	weight := max(latencyWeight, 1/float64(u.samples+1))
	u.latencySeconds += weight * (latency.Seconds() - u.latencySeconds)
	u.samples++
	u.measuredAt = now
	u.consecutiveFailures = 0
	u.consecutiveServerErrors = 0
	u.halfOpen = false
}

// recordFailure stops new requests for a time that doubles with each failure in a row.
// Requests in flight that recordFailure together count once. jitter is in [0, 1).
func (u *upstreamState) recordFailure(now time.Time, jitter float64) {
	if u.probeRequired {
		return
	}
	backoff := firstBackoff << min(u.consecutiveFailures, 10)
	backoff = min(backoff, maxBackoff)
	backoff = backoff/2 + time.Duration(jitter*float64(backoff/2))
	u.consecutiveFailures++
	u.halfOpen = true
	u.probeRequired = true
	u.blockUntil(now.Add(backoff))
}

// markLeaving heeds the runner's own sign that it is leaving.
func (u *upstreamState) markLeaving(now time.Time) {
	u.halfOpen = true
	u.probeRequired = true
	u.wentDown = false
	u.leavingUntil = now.Add(leavingTimeout)
	u.blockUntil(now.Add(probeInterval))
}

func (u *upstreamState) probeDue(now time.Time) bool {
	return u.probeRequired && !u.probeInFlight && u.usable() && !now.Before(u.blockedUntil)
}

// recordProbe takes a probe's end into account. A runner that was leaving is taken
// back once it was gone and answers again, or after leaveHold.
func (u *upstreamState) recordProbe(now time.Time, alive, closing bool, jitter float64) {
	u.probeInFlight = false
	leaving := !u.leavingUntil.IsZero()
	switch {
	case !alive && leaving:
		u.wentDown = true
		u.blockUntil(now.Add(probeInterval))
	case !alive:
		backoff := probeInterval/2 + time.Duration(jitter*float64(probeInterval/2))
		u.blockUntil(now.Add(backoff))
	case closing:
		u.markLeaving(now)
	case leaving && !u.wentDown && now.Before(u.leavingUntil):
		u.blockUntil(now.Add(probeInterval))
	default:
		u.probeRequired = false
		u.leavingUntil = time.Time{}
	}
}

// blockUntil stops new requests until then; it never shortens an earlier blockUntil.
func (u *upstreamState) blockUntil(until time.Time) {
	if until.After(u.blockedUntil) {
		u.blockedUntil = until
	}
}

// upstreamSet is the ordered set of a service's runners.
type upstreamSet struct {
	states []*upstreamState // ordered by name
}

func (s *upstreamSet) find(name string) *upstreamState {
	i, found := slices.BinarySearchFunc(s.states, name, func(u *upstreamState, n string) int {
		return compareNames(u.host.Name, n)
	})
	if !found {
		return nil
	}
	return s.states[i]
}

// lowestLatencySeconds returns the smallest measured latency in seconds of a usable runner.
func (s *upstreamSet) lowestLatencySeconds() float64 {
	best := math.Inf(1)
	for _, u := range s.states {
		if u.usable() && u.samples > 0 {
			best = min(best, u.latencySeconds)
		}
	}
	if math.IsInf(best, 1) {
		return 0
	}
	return best
}

// completionsPerSecond returns how many requests a second this host's slots complete.
func (s *upstreamSet) completionsPerSecond(now time.Time, lowestLatency float64) float64 {
	rate := 0.0
	for _, u := range s.states {
		if u.usable() && (len(u.inFlight) > 0 || (!u.probeRequired && !now.Before(u.blockedUntil))) {
			rate += float64(u.share) / max(u.expectedServiceSeconds(now, lowestLatency), minLatencySeconds)
		}
	}
	return rate
}
