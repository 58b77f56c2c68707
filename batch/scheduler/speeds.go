package scheduler

import (
	"math"
	"time"

	"github.com/cyclamentray/cyclamentray/batch"
	"github.com/cyclamentray/cyclamentray/internal/steady"
)

// speeds estimates how long each runner takes relative to the others. A run's
// duration is the step's work times the runner's factor, both unknown: both are
// kept as estimates of their logarithm with a variance, and each measured
// duration changes the less certain one more (a scalar Kalman update).
type speeds struct {
	factor    map[string]*estimate  // by runner
	durations map[string]*durations // by queue
	believe   bool                  // an experiment believes declared durations
}

// estimate is an estimate of a logarithm.
type estimate struct {
	mean     float64
	variance float64
}

const (
	// factorVariance is the variance of a runner's factor before anything is
	// learned of it: most fleets differ by up to 1.7 times either way.
	factorVariance = 0.45 * 0.45

	// taskVariance is the variance of one task's work around the work of its
	// step.
	taskVariance = 0.2 * 0.2

	// memberVariance is the variance of one gang member's work around that of
	// the others.
	memberVariance = 0.05 * 0.05

	// driftVariance is added for each run, because runners turn slow and
	// recover.
	driftVariance = 0.02 * 0.02
)

func newSpeeds(learned batch.Speeds) *speeds {
	s := &speeds{factor: make(map[string]*estimate), durations: make(map[string]*durations)}
	for id, speed := range learned.Runners {
		s.factor[id] = &estimate{mean: speed.LogFactor, variance: speed.Variance}
	}
	for queue, fit := range learned.Durations {
		s.durations[queue] = newDurations(fit)
	}
	return s
}

// learned returns the estimates for the given runners and for all queues.
func (s *speeds) learned(runners map[string]*runner) batch.Speeds {
	out := batch.Speeds{Runners: make(map[string]batch.Speed), Durations: make(map[string]batch.DurationFit)}
	for id, e := range s.factor {
		if runners[id] != nil {
			out.Runners[id] = batch.Speed{LogFactor: rounded(e.mean), Variance: rounded(e.variance)}
		}
	}
	for queue, d := range s.durations {
		out.Durations[queue] = batch.DurationFit{
			Declared: rounded(d.fit.Declared), Work: rounded(d.fit.Work), Slope: rounded(d.fit.Slope),
			Variance: rounded(d.fit.Variance), Weight: rounded(d.fit.Weight),
		}
	}
	return out
}

// rounded rounds to thousandths, which keeps records small; a thousandth is far
// below what can be learned.
func rounded(v float64) float64 { return math.Round(v*1000) / 1000 }

// learn updates the estimates from the duration of a whole run.
// measurementVariance is the variance of that duration's logarithm.
func (s *speeds) learn(r *run, whole time.Duration, measurementVariance float64) {
	work := s.stepWork(r.unit)
	if whole <= 0 || work == nil {
		return
	}
	noise := measurementVariance + taskVariance
	if r.unit.spec().Gang {
		noise = measurementVariance + memberVariance
	}
	factor := s.runnerEstimate(r.runner.ID)
	shown := math.Log(whole.Seconds()) - factor.mean
	weight := declaredVariance / (declaredVariance + factor.variance + noise)
	residual := shown - work.mean
	total := work.variance + factor.variance + noise
	work.update(residual, total)
	factor.update(residual, total)
	factor.variance += driftVariance
	s.queueDurations(r.unit.job.spec.Queue).add(&work.observation, shown, weight)
}

func (s *speeds) queueDurations(queue string) *durations {
	d := s.durations[queue]
	if d == nil {
		d = newDurations(batch.DurationFit{})
		s.durations[queue] = d
	}
	return d
}

func (e *estimate) update(residual, total float64) {
	gain := e.variance / total
	e.mean += gain * residual
	e.variance *= 1 - gain
}

// stepWork is what is known of the work of one task of a step.
type stepWork struct {
	estimate    // of the logarithm of its seconds
	observation observation
}

// stepWork returns what is known of the work of one task of the unit's step, or nil
// when no duration is declared.
func (s *speeds) stepWork(u *unit) *stepWork {
	key := stepKey{u.occurrence, u.step}
	if u.job.work == nil {
		u.job.work = make(map[stepKey]*stepWork)
	}
	if w := u.job.work[key]; w != nil {
		return w
	}
	seconds := u.spec().Estimate.Seconds()
	if seconds <= 0 {
		return nil
	}
	declared := math.Log(seconds)
	w := &stepWork{estimate: estimate{mean: declared, variance: declaredVariance}, observation: observation{declared: declared}}
	if !s.believe {
		w.estimate = s.queueDurations(u.job.spec.Queue).predict(declared)
	}
	u.job.work[key] = w
	return w
}

func (s *speeds) runnerEstimate(runner string) *estimate {
	e := s.factor[runner]
	if e == nil {
		e = &estimate{variance: factorVariance}
		s.factor[runner] = e
	}
	return e
}

func (s *speeds) logFactor(runner string) float64 {
	if e := s.factor[runner]; e != nil {
		return e.mean
	}
	return 0
}

// timeFactor returns how long a runner takes relative to an average one.
func (s *speeds) timeFactor(runner string) float64 { return math.Exp(s.logFactor(runner)) }

// expectedDuration returns how long a task of the unit takes on an average
// runner near its data.
func (s *speeds) expectedDuration(u *unit) time.Duration {
	w := s.stepWork(u)
	if w == nil {
		return u.spec().Estimate
	}
	return time.Duration(math.Exp(w.mean) * float64(time.Second))
}

// cautionDeviations is the number of standard deviations that are added to the
// logarithm of a factor, because a runner with unknown speed may be slow.
const cautionDeviations = 0.6

// cautiousFactor returns timeFactor, raised by its uncertainty.
func (s *speeds) cautiousFactor(runner string) float64 {
	variance := factorVariance
	if e := s.factor[runner]; e != nil {
		variance = e.variance
	}
	return math.Exp(s.logFactor(runner) + cautionDeviations*math.Sqrt(variance))
}

// unknown reports whether hardly anything was learned of a runner's speed: the
// variance of its factor is still above a third of the initial one.
func (s *speeds) unknown(runner string) bool {
	e := s.factor[runner]
	return e == nil || e.variance > factorVariance/3
}

const (
	// minPaceChange is the smallest ratio of paces that means that the runner's
	// speed has changed, rather than that the measurement is inexact.
	minPaceChange = 1.4

	// maxPaceError is the largest relative error of a measured pace from which
	// a change is concluded.
	maxPaceError = 0.15

	// maxLogFactor bounds the logarithm of a runner's factor: about seven times
	// as long, which is slower than any runner was seen to become.
	maxLogFactor = 2.0
)

// learnProgress updates the estimates from the pace of a running task. Runs that
// are away from their data or their gang's rack, or that were resumed from a
// checkpoint, say nothing about the runner's usual speed.
func (s *speeds) learnProgress(r *run) {
	if r.resumed || r.remote {
		return
	}
	whole := time.Duration(100 / r.pace * float64(time.Second))
	if r.learnedPace == 0 {
		r.learnedPace = r.pace
		s.learn(r, whole, square(r.paceError))
		return
	}
	change := r.learnedPace / r.pace
	if r.paceError > maxPaceError || change < minPaceChange && change > 1/minPaceChange {
		return
	}
	factor := s.runnerEstimate(r.runner.ID)
	factor.mean = math.Max(-maxLogFactor, math.Min(maxLogFactor, factor.mean+math.Log(change)))
	r.learnedPace = r.pace
}

func square(v float64) float64 { return v * v }

// learnEnd updates the estimates from the duration of a run that is done. The
// members of a gang end with the slowest, so their durations say nothing about
// their runners.
func (s *speeds) learnEnd(r *run, now steady.Time) {
	if r.resumed || r.remote || r.startedAt.IsZero() || r.learnedPace != 0 || r.unit.tasks > 1 {
		return
	}
	s.learn(r, now.Sub(r.startedAt), 0)
}
