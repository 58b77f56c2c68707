package scheduler

import (
	"math"
	"math/rand/v2"
	"testing"

	"github.com/shoenig/test/must"

	"github.com/cyclamentray/cyclamentray/batch"
)

// observeSteps lets a queue's model see steps of 2.5 s of work whose declared
// durations are off by the given spread of their logarithm.
func observeSteps(d *durations, steps int, workSpread, declaredSpread float64) {
	rng := rand.New(rand.NewPCG(1, 1))
	for range steps {
		work := math.Log(2.5) + workSpread*rng.NormFloat64()
		d.add(&observation{declared: work + declaredSpread*rng.NormFloat64()}, work, 1)
	}
}

func predictSeconds(d *durations, declared float64) float64 {
	return math.Exp(d.predict(math.Log(declared)).mean)
}

// Callers of one queue declare almost at random. A step that declares ten times the
// usual work is predicted close to the usual work.
func TestRandomDeclarationsAreHardlyBelieved(t *testing.T) {
	d := newDurations(batch.DurationFit{})
	must.InDelta(t, 25, predictSeconds(d, 25), 0.01) // nothing is known yet
	observeSteps(d, 40, 0.4, 0.9)
	must.Between(t, 1.5, predictSeconds(d, 25), 8)
	must.Between(t, 0.8, predictSeconds(d, 0.25), 2.5)
}

// Callers of another queue declare exactly, and its work differs by far more than the
// declarations are off.
func TestExactDeclarationsAreBelieved(t *testing.T) {
	d := newDurations(batch.DurationFit{})
	observeSteps(d, 40, 0.8, 0.1)
	must.InDelta(t, 10, predictSeconds(d, 10), 1.5)
	must.Less(t, declaredVariance/4, d.predict(math.Log(10)).variance)
}

// A new scheduler predicts as the one before it, and follows callers that declare
// otherwise from then on.
func TestDurationFitIsPassedOnAndFollowsChanges(t *testing.T) {
	before := newDurations(batch.DurationFit{})
	observeSteps(before, 40, 0.4, 0.9)
	after := newDurations(before.fit)
	must.InDelta(t, predictSeconds(before, 10), predictSeconds(after, 10), 0.01)
	for range 3 * maxObservedSteps {
		after.add(&observation{declared: math.Log(2)}, math.Log(8), 1) // declares a quarter of the work
	}
	must.InDelta(t, 8, predictSeconds(after, 2), 1.5)
}

// The stored variance of a queue whose callers declare exactly is rounded to zero, and an
// odd record may hold less. Estimates of its steps can still change.
func TestPredictionsKeepAVariance(t *testing.T) {
	for _, stored := range []float64{0, -1} {
		d := newDurations(batch.DurationFit{Work: 1, Declared: 1, Slope: 1, Variance: stored, Weight: 10})
		must.Positive(t, d.predict(1).variance)
	}
}
