package scheduler

import (
	"math"
	"time"

	"github.com/cyclamentray/cyclamentray/batch"
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

	// memberVariance is that of one gang member's work around the others'.
	memberVariance = 0.05 * 0.05

	// driftVariance is added a run, because runners turn slow and recover.
	driftVariance = 0.02 * 0.02

	// biasShare is the part of a step's error that its queue's bias takes, so
	// that some ten steps make up the mean.
	biasShare = 0.1
)

func newSpeeds(learned batch.Speeds) *speeds {
	s := &speeds{factor: make(map[string]*estimate), bias: make(map[string]*estimate)}
	for id, known := range learned.Runners {
		s.factor[id] = &estimate{mean: known.LogFactor, variance: known.Variance}
	}
	for queue, off := range learned.Queues {
		s.bias[queue] = &estimate{mean: off}
	}
	return s
}

// learned returns what is known of the given runners and of all queues.
func (s *speeds) learned(runners map[string]*runner) batch.Speeds {
	out := batch.Speeds{Runners: make(map[string]batch.Speed), Queues: make(map[string]float64)}
	for id, e := range s.factor {
		if runners[id] != nil {
			out.Runners[id] = batch.Speed{LogFactor: rounded(e.mean), Variance: rounded(e.variance)}
		}
	}
	for queue, e := range s.bias {
		out.Queues[queue] = rounded(e.mean)
	}
	return out
}

// rounded keeps records small; a thousandth is far below what can be learned.
func rounded(v float64) float64 { return math.Round(v*1000) / 1000 }

// learn takes how long a run takes whole, with the variance of that reading's
// logarithm.
func (s *speeds) learn(r *run, whole time.Duration, reading float64) {
	work := s.workOf(r.unit)
	if whole <= 0 || work == nil {
		return
	}
	noise := reading + taskVariance
	if r.unit.spec().Gang {
		noise = reading + memberVariance
	}
	factor := s.of(r.runner.ID)
	surprise := math.Log(whole.Seconds()) - work.mean - factor.mean
	total := work.variance + factor.variance + noise
	work.move(surprise, total)
	factor.move(surprise, total)
	factor.variance += driftVariance
	s.learnBias(r, work)
}

// learnBias takes how far off the declared duration was.
func (s *speeds) learnBias(r *run, work *estimate) {
	queue := r.unit.job.spec.Queue
	if s.bias[queue] == nil {
		s.bias[queue] = &estimate{}
	}
	bias := s.bias[queue]
	off := work.mean - math.Log(r.unit.spec().Estimate.Seconds())
	bias.mean += biasShare * (off - bias.mean)
}

func (e *estimate) move(surprise, total float64) {
	gain := e.variance / total
	e.mean += gain * surprise
	e.variance *= 1 - gain
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

// certainty is how much of a factor's standard deviation is held against a
// runner: an unknown one may be slow.
const certainty = 0.6

// cautiousFactor is timeFactor, raised by what is not known.
func (s *speeds) cautiousFactor(runner string) float64 {
	variance := factorVariance
	if e := s.factor[runner]; e != nil {
		variance = e.variance
	}
	return math.Exp(s.log(runner) + certainty*math.Sqrt(variance))
}

// unknown reports whether hardly anything was learned of a runner.
func (s *speeds) unknown(runner string) bool {
	e := s.factor[runner]
	return e == nil || e.variance > factorVariance/3
}

const (
	// changeRatio is a change of pace that means that the runner, and not the
	// reading, is different.
	changeRatio = 1.4

	// paceErrorMost is the largest error of a reading that a change is told from.
	paceErrorMost = 0.15

	// factorMost bounds the logarithm of a runner's factor: about seven times
	// as long, which is slower than any runner was seen to turn.
	factorMost = 2.0
)

// learnProgress takes a running task's progress. Runs away from their data or
// from an earlier checkpoint tell nothing of the runner's usual speed.
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
	if r.paceError > paceErrorMost || change < changeRatio && change > 1/changeRatio {
		return
	}
	factor := s.of(r.runner.ID)
	factor.mean = math.Max(-factorMost, math.Min(factorMost, factor.mean+math.Log(change)))
	r.learnedPace = r.pace
}

func square(v float64) float64 { return v * v }

// learnEnd takes the duration of a run that is done. A gang's members end with
// the slowest, so they tell nothing.
func (s *speeds) learnEnd(r *run, now steady.Time) {
	if r.resumed || r.remote || r.started.IsZero() || r.learnedPace != 0 || r.unit.tasks > 1 {
		return
	}
	s.learn(r, now.Sub(r.started), 0)
}
