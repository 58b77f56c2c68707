package routing

import (
	"math"
	"slices"
	"time"

	"github.com/cyclamentray/cyclamentray/kvstore"
)

const (
	latencyWeight         = 0.05                   // weight of a new latency in the moving average
	latencyExcessHalfLife = 20 * time.Second       // half-life of an idle upstream's estimated latency above the lowest average latency
	remoteCostFactor      = 1.5                    // a remote upstream must be this many times faster than a local one to be preferred
	remoteRoundTrip       = 2 * time.Millisecond   // added latency of another failure domain
	firstBackoff          = 500 * time.Millisecond // after an upstream's first failure
	maxBackoff            = 30 * time.Second
	serverErrorLimit      = 5                     // consecutive 5xx responses that count as a failure
	leavingTimeout        = 30 * time.Second      // no requests after an upstream announced that it is leaving, unless it went down and came back sooner
	probeInterval         = time.Second           // between probes of an upstream that is leaving or does not respond
	fullBackoff           = 20 * time.Millisecond // no requests after an upstream responded that it is full
	shareGrowthDelay      = 3 * time.Second       // before the slots of an entry host that is gone are used
)

// upstreamState holds a dispatcher's statistics and health state of one upstream.
// A failure opens a circuit breaker: no requests until the backoff has passed
// and a probe succeeds (probeRequired), then one at a time until one succeeds
// (halfOpen).
type upstreamState struct {
	host           kvstore.Host
	local          bool                 // in this entry host's failure domain
	outOfService   bool                 // its failure domain is taken out of service
	share          int                  // slots that this entry host may use
	pendingShare   int                  // share from pendingShareAt on
	pendingShareAt time.Time            // zero: no growth is pending
	inFlight       map[uint64]time.Time // start times by ticket ID

	latencySeconds          float64 // moving average of successful attempts
	samples                 int
	measuredAt              time.Time // of the last sample
	consecutiveFailures     int
	consecutiveServerErrors int
	blockedUntil            time.Time // no requests and no probes before
	halfOpen                bool      // one request at a time until one succeeds
	probeRequired           bool      // no requests until a probe succeeds
	probeInFlight           bool
	leavingUntil            time.Time // set when the upstream announces that it is leaving; zero: it is not leaving
	wentDown                bool      // a probe has failed since that announcement
}

// setShare sets the slots that this entry host may use. A smaller share applies
// at once; a larger one of a known upstream only after shareGrowthDelay, since
// requests of an entry host that has just gone may still be running on it.
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

// applyPendingShare applies a larger share once its delay has passed.
func (u *upstreamState) applyPendingShare(now time.Time) {
	if !u.pendingShareAt.IsZero() && !now.Before(u.pendingShareAt) {
		u.share = u.pendingShare
		u.pendingShareAt = time.Time{}
	}
}

// usable reports whether the upstream is in service and this host has a share
// of it. Its health is not considered.
func (u *upstreamState) usable() bool { return !u.outOfService && !u.host.Leaving && u.share > 0 }

// available reports whether one more request may be sent to the upstream now.
func (u *upstreamState) available(now time.Time) bool {
	if !u.usable() || u.probeRequired || now.Before(u.blockedUntil) {
		return false
	}
	if u.halfOpen {
		return len(u.inFlight) == 0
	}
	return len(u.inFlight) < u.share
}

// expectedServiceSeconds returns the expected duration of a request, without the
// round trip to another failure domain. lowestLatency is the lowest average
// latency of the service's usable upstreams, in seconds. An upstream without
// samples is expected to be that fast, and the estimate of an idle upstream decays
// towards it, so that an upstream that has recovered is tried again. A request in
// flight for longer than the estimate raises it.
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

// oldestInFlightSeconds returns the age of the oldest request in flight.
func (u *upstreamState) oldestInFlightSeconds(now time.Time) float64 {
	age := time.Duration(0)
	for _, start := range u.inFlight {
		age = max(age, now.Sub(start))
	}
	return age.Seconds()
}

// expectedSeconds returns the expected duration of a request, with the round trip
// to another failure domain.
func (u *upstreamState) expectedSeconds(now time.Time, lowestLatency float64) float64 {
	expected := u.expectedServiceSeconds(now, lowestLatency)
	if u.local {
		return expected
	}
	return expected + remoteRoundTrip.Seconds()
}

// cost returns the expected duration in seconds, weighted to prefer the local
// failure domain.
func (u *upstreamState) cost(now time.Time, lowestLatency float64) float64 {
	if u.local {
		return u.expectedSeconds(now, lowestLatency)
	}
	return u.expectedSeconds(now, lowestLatency) * remoteCostFactor
}

// recordSuccess adds a latency to the moving average, resets the failure counts
// and ends the half-open state.
func (u *upstreamState) recordSuccess(now time.Time, latency time.Duration) {
	weight := max(latencyWeight, 1/float64(u.samples+1))
	u.latencySeconds += weight * (latency.Seconds() - u.latencySeconds)
	u.samples++
	u.measuredAt = now
	u.consecutiveFailures = 0
	u.consecutiveServerErrors = 0
	u.halfOpen = false
}

// recordFailure stops new requests for a backoff that doubles with each
// consecutive failure. Requests in flight that fail together count once. jitter
// is in [0, 1).
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

// markLeaving stops new requests after the upstream announced that it is leaving.
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

// recordProbe records the result of a probe. A leaving upstream is used again
// when it responds after it went down, or when it responds after leavingTimeout.
// jitter is in [0, 1).
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

// blockUntil stops new requests until the given time; it never shortens an
// earlier block.
func (u *upstreamState) blockUntil(until time.Time) {
	if until.After(u.blockedUntil) {
		u.blockedUntil = until
	}
}

// upstreamSet is the set of a service's upstreams.
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

// lowestLatencySeconds returns the lowest average latency of the usable
// upstreams, or 0 when none has a sample.
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

// completionsPerSecond returns how many requests per second this host's share of
// the slots is expected to complete.
func (s *upstreamSet) completionsPerSecond(now time.Time, lowestLatency float64) float64 {
	rate := 0.0
	for _, u := range s.states {
		if u.usable() && (len(u.inFlight) > 0 || (!u.probeRequired && !now.Before(u.blockedUntil))) {
			rate += float64(u.share) / max(u.expectedServiceSeconds(now, lowestLatency), minLatencySeconds)
		}
	}
	return rate
}
