package scheduler

import (
	"math"

	"github.com/cyclamentray/cyclamentray/internal/steady"
)

// speeds estimates how long each runner takes relative to the others, from the
// declared and the measured duration of what it finished. Declared durations
// are far off, so each is compared with its queue's usual error.
type speeds struct {
	factor map[string]*estimate // by runner; log of the time factor
	error  map[string]*estimate // by queue; log of measured over declared
}

// estimate is a running mean that forgets.
type estimate struct {
	mean   float64
	weight float64
}

const (
	estimateMemory = 12.0 // samples after which an older one counts little
	priorWeight    = 1.5  // samples that a runner's neutral start is worth
	factorMost     = 1.4  // bound of a log factor: about four times as long, or as short
)

func newSpeeds() *speeds {
	return &speeds{factor: make(map[string]*estimate), error: make(map[string]*estimate)}
}

func (e *estimate) add(v float64) {
	e.weight = min(e.weight+1, estimateMemory)
	e.mean += (v - e.mean) / e.weight
}

// learn takes the duration of a run that is done. A gang is as slow as its
// slowest member, so only those thought to be about as slow learn from it.
func (s *speeds) learn(r *run, now steady.Time) {
	declared := r.unit.spec().Estimate
	if r.started.IsZero() || declared <= 0 || r.unit.attempt > 1 {
		return
	}
	ratio := math.Log(float64(now.Sub(r.started)) / float64(declared))
	queue := s.error[r.unit.job.spec.Queue]
	if queue == nil {
		queue = &estimate{}
		s.error[r.unit.job.spec.Queue] = queue
	}
	own := ratio - queue.mean
	queue.add(ratio - s.log(r.runner.ID))
	s.of(r.runner.ID).add(math.Max(-factorMost, math.Min(factorMost, own)))
}

func (s *speeds) of(runner string) *estimate {
	e := s.factor[runner]
	if e == nil {
		e = &estimate{weight: priorWeight}
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
