package placement

import "time"

// Quantiles at which run times are predicted.
const (
	orderQuantile       = 0.5 // of waiting jobs, to order them
	backfillQuantile    = 0.5 // of waiting jobs, to let them start ahead of a reservation
	expectedEndQuantile = 0.6 // of running gangs, to predict when their accelerators become free
)

// predictor predicts run times from estimates. It blends each template's ratios only
// once.
type predictor struct {
	estimates *Estimates
	blends    map[[2]string]*blend
}

// blend holds a template's blended ratios, and their quantiles for jobs that have not
// started.
type blend struct {
	*ratios
	orderRatio, backfillRatio float64
}

func newPredictor(e *Estimates) *predictor {
	return &predictor{estimates: e, blends: map[[2]string]*blend{}}
}

// orderingRun returns the run time by which a waiting job is ordered.
func (p *predictor) orderingRun(w *WaitingJob) time.Duration {
	return p.scaledRun(w, func(b *blend) float64 { return b.orderRatio })
}

// backfillRun returns the run time that a waiting job is expected to need when it
// starts ahead of a reservation.
func (p *predictor) backfillRun(w *WaitingJob) time.Duration {
	return p.scaledRun(w, func(b *blend) float64 { return b.backfillRatio })
}

// scaledRun returns a waiting job's declared run time, multiplied by a ratio of its
// template's blend if there are estimates.
func (p *predictor) scaledRun(w *WaitingJob, ratio func(b *blend) float64) time.Duration {
	declared := max(w.DeclaredRun, minRun)
	if p.estimates == nil {
		return declared
	}
	return time.Duration(ratio(p.blendFor(w.ID.Service, w.Template)) * float64(declared))
}

// totalRun returns the predicted run time, from its start, of a gang that has run
// for elapsed.
func (p *predictor) totalRun(g *Gang, elapsed time.Duration) time.Duration {
	declared := max(g.DeclaredRun, minRun)
	if p.estimates == nil {
		return max(declared, elapsed+elapsed/4)
	}
	return predictFrom(p.blendFor(g.ID.Service, g.Template).ratios, declared, elapsed, expectedEndQuantile)
}

func (p *predictor) blendFor(service, template string) *blend {
	k := [2]string{service, template}
	b := p.blends[k]
	if b == nil {
		r := p.estimates.blendedRatios(service, template)
		b = &blend{r, r.quantile(0, orderQuantile), r.quantile(0, backfillQuantile)}
		p.blends[k] = b
	}
	return b
}
