package routing

import (
	"math"
	"slices"
	"time"

	"github.com/cyclamentray/cyclamentray/kvstore"
)

const (
	latencyWeight   = 0.05                   // weight of a new latency in the moving average
	latencyHalfLife = 20 * time.Second       // an unused estimate's excess over the best halves in this time
	remoteFactor    = 1.5                    // a remote runner must be this much faster than a local one
	remotePenalty   = 2 * time.Millisecond   // round trip to another failure domain
	firstBackoff    = 500 * time.Millisecond // after a runner's first failure
	maxBackoff      = 30 * time.Second
	answerFailures  = 5                     // consecutive 5xx answers that count as failing
	leaveHold       = 30 * time.Second      // no requests after a runner's own sign of leaving, unless it was gone meanwhile
	probeInterval   = time.Second           // between probes of a runner that is leaving or does not answer
	fullHold        = 20 * time.Millisecond // no requests after a runner said that it is full
	growDelay       = 3 * time.Second       // before slots of a host that is gone are used
)

// runner is what the core knows about one upstream.
type runner struct {
	host    kvstore.Host
	local   bool // in this entry host's failure domain
	out     bool // its failure domain is taken out
	share   int  // slots that this entry host may use
	larger  int  // share after growAt, when it grows
	growAt  time.Time
	started map[uint64]time.Time // ticket in flight to its start

	latency    float64 // moving average in seconds
	samples    int
	measuredAt time.Time
	failures   int // consecutive
	badAnswers int // consecutive 5xx answers
	heldUntil  time.Time
	trial      bool // after a failure: one request at a time until one succeeds
	suspect    bool // no requests until a probe succeeds
	probing    bool
	leaveUntil time.Time // set by the runner's own sign of leaving
	gone       bool      // a probe failed since that sign
}

// setShare shrinks at once and grows only after a delay, in which the requests
// of a host that has just gone may still be running on the upstream.
func (r *runner) setShare(now time.Time, share int, known bool) {
	if !known || share <= r.share {
		r.share = share
		r.growAt = time.Time{}
		return
	}
	if r.growAt.IsZero() {
		r.growAt = now.Add(growDelay)
	}
	r.larger = share
}

func (r *runner) grow(now time.Time) {
	if !r.growAt.IsZero() && !now.Before(r.growAt) {
		r.share = r.larger
		r.growAt = time.Time{}
	}
}

// usable reports whether new requests may go to the runner at all.
func (r *runner) usable() bool { return !r.out && !r.host.Leaving && r.share > 0 }

// free reports whether one more request may go to the runner now.
func (r *runner) free(now time.Time) bool {
	if !r.usable() || r.suspect || now.Before(r.heldUntil) {
		return false
	}
	if r.trial {
		return len(r.started) == 0
	}
	return len(r.started) < r.share
}

// expected returns the seconds that a request is expected to take. best is the
// smallest estimate of the service; it stands in for a runner never tried, and
// an estimate that has gone unused drifts back towards it, so that a runner
// that has recovered is found again.
func (r *runner) expected(now time.Time, best float64) float64 {
	if r.samples == 0 {
		return best
	}
	idle := now.Sub(r.measuredAt).Seconds()
	if len(r.started) > 0 {
		idle = 0
	}
	drift := math.Exp2(-idle / latencyHalfLife.Seconds())
	estimate := best + max(0, r.latency-best)*drift
	return max(estimate, r.oldestAge(now))
}

func (r *runner) oldestAge(now time.Time) float64 {
	age := time.Duration(0)
	for _, start := range r.started {
		age = max(age, now.Sub(start))
	}
	return age.Seconds()
}

// duration is the expected time as the caller sees it, in seconds.
func (r *runner) duration(now time.Time, best float64) float64 {
	expected := r.expected(now, best)
	if r.local {
		return expected
	}
	return expected + remotePenalty.Seconds()
}

// cost is the duration with the preference for the local failure domain.
func (r *runner) cost(now time.Time, best float64) float64 {
	if r.local {
		return r.duration(now, best)
	}
	return r.duration(now, best) * remoteFactor
}

func (r *runner) succeed(now time.Time, latency time.Duration) {
	weight := max(latencyWeight, 1/float64(r.samples+1))
	r.latency += weight * (latency.Seconds() - r.latency)
	r.samples++
	r.measuredAt = now
	r.failures = 0
	r.badAnswers = 0
	r.trial = false
}

// fail stops new requests for a time that doubles with each failure in a row.
// Requests in flight that fail together count once. jitter is in [0, 1).
func (r *runner) fail(now time.Time, jitter float64) {
	if r.suspect {
		return
	}
	pause := firstBackoff << min(r.failures, 10)
	pause = min(pause, maxBackoff)
	pause = pause/2 + time.Duration(jitter*float64(pause/2))
	r.failures++
	r.trial = true
	r.suspect = true
	r.hold(now.Add(pause))
}

// leave heeds the runner's own sign that it is leaving.
func (r *runner) leave(now time.Time) {
	r.trial = true
	r.suspect = true
	r.gone = false
	r.leaveUntil = now.Add(leaveHold)
	r.hold(now.Add(probeInterval))
}

func (r *runner) wantsProbe(now time.Time) bool {
	return r.suspect && !r.probing && r.usable() && !now.Before(r.heldUntil)
}

// probed takes a probe's end into account. A runner that was leaving is taken
// back once it was gone and answers again, or after leaveHold.
func (r *runner) probed(now time.Time, alive, closing bool, jitter float64) {
	r.probing = false
	leaving := !r.leaveUntil.IsZero()
	switch {
	case !alive && leaving:
		r.gone = true
		r.hold(now.Add(probeInterval))
	case !alive:
		pause := probeInterval/2 + time.Duration(jitter*float64(probeInterval/2))
		r.hold(now.Add(pause))
	case closing:
		r.leave(now)
	case leaving && !r.gone && now.Before(r.leaveUntil):
		r.hold(now.Add(probeInterval))
	default:
		r.suspect = false
		r.leaveUntil = time.Time{}
	}
}

// hold stops new requests until then; it never shortens an earlier hold.
func (r *runner) hold(until time.Time) {
	if until.After(r.heldUntil) {
		r.heldUntil = until
	}
}

// fleet is the ordered set of a service's runners.
type fleet struct {
	runners []*runner // ordered by name
}

func (f *fleet) find(name string) *runner {
	i, found := slices.BinarySearchFunc(f.runners, name, func(r *runner, n string) int {
		return compare(r.host.Name, n)
	})
	if !found {
		return nil
	}
	return f.runners[i]
}

// best returns the smallest measured latency in seconds of a usable runner.
func (f *fleet) best() float64 {
	best := math.Inf(1)
	for _, r := range f.runners {
		if r.usable() && r.samples > 0 {
			best = min(best, r.latency)
		}
	}
	if math.IsInf(best, 1) {
		return 0
	}
	return best
}

// rate returns how many requests a second this host's slots complete.
func (f *fleet) rate(now time.Time, best float64) float64 {
	rate := 0.0
	for _, r := range f.runners {
		if r.usable() && (len(r.started) > 0 || (!r.suspect && !now.Before(r.heldUntil))) {
			rate += float64(r.share) / max(r.expected(now, best), minLatency)
		}
	}
	return rate
}
