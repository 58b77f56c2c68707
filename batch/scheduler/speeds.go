package scheduler

import (
	"math"
	"time"

	"github.com/cyclamentray/cyclamentray/internal/steady"
)

// speeds estimates how long each runner takes relative to the others. A run's
// duration is the step's work times the runner's factor, both unknown: both are
// kept as estimates of their logarithm with a variance, and each duration moves
// the less certain one more (a scalar Kalman update).
type speeds struct {
	factor map[string]*estimate // by runner
	bias   map[string]*estimate // by queue: of declared durations
}

// estimate is a logarithm that is not known exactly.
type estimate struct {
	mean     float64
	variance float64
}

const (
	// factorVariance is that of runners nobody knows yet: the users' fleets
	// differ by up to 1.7 times either way.
	factorVariance = 0.45 * 0.45

	// declaredVariance is that of a declared duration: "far off" in the users' words.
	declaredVariance = 0.5 * 0.5

	// taskVariance is that of one task's work around its step's.
	taskVariance = 0.2 * 0.2

	// driftVariance is added a run, because runners turn slow and recover.
	driftVariance = 0.02 * 0.02

	biasVariance = 0.5 * 0.5
	biasShare    = 0.1 // of a step's error that its queue's bias takes
)

func newSpeeds() *speeds {
	return &speeds{factor: make(map[string]*estimate), bias: make(map[string]*estimate)}
}

// learn takes the duration of a run, or what it will be by its progress.
func (s *speeds) learn(r *run, took time.Duration) {
	if took <= 0 || r.learned || r.unit.spec().Gang && r.unit.learned == r.attempt {
		return
	}
	r.learned = true
	r.unit.learned = r.attempt
	work := s.workOf(r.unit)
	if work == nil {
		return
	}
	slowest := s.slowest(r)
	factor := s.of(slowest)
	measured := math.Log(took.Seconds())
	surprise := measured - work.mean - factor.mean
	total := work.variance + factor.variance + taskVariance
	work.move(surprise, total)
	factor.move(surprise, total)
	factor.variance += driftVariance
	s.biasOf(r).mean += biasShare * (work.mean - math.Log(r.unit.spec().Estimate.Seconds()) - s.biasOf(r).mean)
}

func (e *estimate) move(surprise, total float64) {
	gain := e.variance / total
	e.mean += gain * surprise
	e.variance *= 1 - gain
}

// slowest returns the runner that a run's duration tells of: in a gang, the
// slowest member's.
func (s *speeds) slowest(r *run) string {
	if !r.unit.spec().Gang {
		return r.runner.ID
	}
	slowest := r.runner.ID
	for _, id := range r.unit.placed {
		if s.log(id) > s.log(slowest) {
			slowest = id
		}
	}
	return slowest
}

// workOf returns the estimate of the work of one task of a unit's step.
func (s *speeds) workOf(u *unit) *estimate {
	key := stepKey{u.occurrence, u.step}
	if u.job.work == nil {
		u.job.work = make(map[stepKey]*estimate)
	}
	if e := u.job.work[key]; e != nil {
		return e
	}
	declared := u.spec().Estimate.Seconds()
	if declared <= 0 {
		return nil
	}
	e := &estimate{mean: math.Log(declared), variance: declaredVariance}
	if b := s.bias[u.job.spec.Queue]; b != nil {
		e.mean += b.mean
	}
	u.job.work[key] = e
	return e
}

func (s *speeds) biasOf(r *run) *estimate {
	queue := r.unit.job.spec.Queue
	if s.bias[queue] == nil {
		s.bias[queue] = &estimate{variance: biasVariance}
	}
	return s.bias[queue]
}

func (s *speeds) of(runner string) *estimate {
	e := s.factor[runner]
	if e == nil {
		e = &estimate{variance: factorVariance}
		s.factor[runner] = e
	}
	return e
}

func (s *speeds) log(runner string) float64 {
	if e := s.factor[runner]; e != nil {
		return e.mean
	}
	return 0
}

// timeFactor returns how long a runner takes relative to an average one.
func (s *speeds) timeFactor(runner string) float64 { return math.Exp(s.log(runner)) }

// duration returns how long a task of the unit takes on an average runner near
// its data.
func (s *speeds) duration(u *unit) time.Duration {
	e := s.workOf(u)
	if e == nil {
		return u.spec().Estimate
	}
	return time.Duration(math.Exp(e.mean) * float64(time.Second))
}

// learnAt is the progress, in percent, from which a run's duration can be told.
const learnAt = 35

// learnProgress takes a running task's progress. Runs away from their data or
// with an earlier checkpoint tell nothing.
func (s *speeds) learnProgress(r *run) {
	if r.percent < learnAt || r.resumed || r.remote {
		return
	}
	s.learn(r, r.advanced.Sub(r.started)*100/time.Duration(r.percent))
}

func (s *speeds) learnEnd(r *run, now steady.Time) {
	if r.resumed || r.remote || r.started.IsZero() {
		return
	}
	s.learn(r, now.Sub(r.started))
}
