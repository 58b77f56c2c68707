package scheduler

import (
	"math"

	"gonum.org/v1/gonum/stat"

	"github.com/cyclamentray/cyclamentray/batch"
)

const (
	// declaredVariance is the variance of the logarithm of the work around the
	// declared duration, before anything is learned of a queue. Callers estimate
	// roughly: every third is off by more than 1.6 times.
	declaredVariance = 0.5 * 0.5

	// declaredSpread is the standard deviation of the logarithms of the declared
	// durations of a queue of which nothing is learned.
	declaredSpread = 0.5

	// minPriorWeight is the number of observed steps that outweigh what is assumed of
	// a queue at first.
	minPriorWeight = 3

	// minWorkVariance is the smallest variance of a prediction, so that what a step
	// turns out to be still changes its estimate.
	minWorkVariance = 0.1 * 0.1

	// maxObservedSteps bounds the observed steps of a queue. The oldest are
	// dropped, so that the fit follows callers that declare otherwise than before.
	maxObservedSteps = 40
)

// durations predicts the work of a queue's steps from their declared durations. It
// answers queues whose callers declare too much, too little, or nearly at random:
// it fits a line through the logarithms of the declared durations and of the work
// that steps turned out to be. Where declarations say little, the line is flat and
// the prediction is close to the queue's usual work.
type durations struct {
	prior    batch.DurationFit
	observed []*observation // the last steps, the oldest first
	fit      batch.DurationFit
}

// observation is what was measured of one step. declared and work are logarithms of
// seconds.
type observation struct {
	declared, work float64
	weight         float64 // 1: measured without error
	runs           int     // measured runs, over which work is averaged
}

func newDurations(learned batch.DurationFit) *durations {
	return &durations{prior: learned, fit: learned}
}

// predict returns the estimate for a step that declares the given logarithm of
// seconds.
func (d *durations) predict(declared float64) estimate {
	if d.fit.Weight == 0 {
		return estimate{mean: declared, variance: declaredVariance}
	}
	return estimate{
		mean:     d.fit.Work + d.fit.Slope*(declared-d.fit.Declared),
		variance: math.Max(d.fit.Variance, minWorkVariance),
	}
}

// add adds the logarithm of the work that one run of the observed step showed, and
// fits the line again.
func (d *durations) add(o *observation, work, weight float64) {
	if o.runs == 0 {
		d.observed = append(d.observed, o)
		d.observed = d.observed[max(0, len(d.observed)-maxObservedSteps):]
	}
	o.runs++
	o.work += (work - o.work) / float64(o.runs)
	o.weight = math.Max(o.weight, weight)
	d.refit()
}

// refit fits the line through the observed steps and two points that stand for what
// was assumed before. Without earlier knowledge these lie where the declared
// durations are right, around the observed ones.
func (d *durations) refit() {
	var declared, work, weights []float64
	for _, o := range d.observed {
		declared, work, weights = append(declared, o.declared), append(work, o.work), append(weights, o.weight)
	}
	prior := d.prior
	if prior.Weight == 0 {
		middle := stat.Mean(declared, weights)
		prior = batch.DurationFit{Declared: middle, Work: middle, Slope: 1, Variance: declaredVariance, Weight: minPriorWeight}
	}
	priorWeight := math.Max(minPriorWeight, prior.Weight-float64(len(d.observed))) // what earlier schedulers learned becomes old
	for _, offset := range []float64{-declaredSpread, declaredSpread} {
		declared, work = append(declared, prior.Declared+offset), append(work, prior.Work+prior.Slope*offset)
		weights = append(weights, priorWeight/2)
	}
	intercept, slope := stat.LinearRegression(declared, work, weights, false)
	middle := stat.Mean(declared, weights)
	squares, total := priorWeight*prior.Variance, priorWeight
	for i, o := range d.observed {
		squares += o.weight * square(work[i]-intercept-slope*declared[i])
		total += o.weight
	}
	d.fit = batch.DurationFit{
		Declared: middle, Work: intercept + slope*middle, Slope: slope,
		Variance: squares / total, Weight: math.Min(total, maxObservedSteps/2),
	}
}
