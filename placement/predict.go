package placement

import (
	"time"
)

// Quantiles of the run time at which jobs are judged.
const (
	orderQuantile    = 0.5 // of waiting jobs, to order them
	backfillQuantile = 0.5 // of waiting jobs, to let them go ahead of a reservation
	remainQuantile   = 0.6 // of running gangs, to tell when accelerators come free
)

// predictor reads estimates, blending each template's history but once.
type predictor struct {
	estimates *Estimates
	blends    map[[2]string]*ratios
}

func newPredictor(e *Estimates) *predictor {
	return &predictor{estimates: e, blends: map[[2]string]*ratios{}}
}

func (p *predictor) run(service, template string, declared time.Duration, q float64) time.Duration {
	return p.after(service, template, declared, 0, q)
}

// after returns the whole run time of a job that has run for elapsed.
func (p *predictor) after(service, template string, declared, elapsed time.Duration, q float64) time.Duration {
	declared = max(declared, shortestRun)
	if p.estimates == nil {
		return max(declared, elapsed+elapsed/4)
	}
	k := [2]string{service, template}
	r := p.blends[k]
	if r == nil {
		r = p.estimates.blended(service, template)
		p.blends[k] = r
	}
	return predictFrom(r, declared, elapsed, q)
}
