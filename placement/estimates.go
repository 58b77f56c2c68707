package placement

import (
	"encoding/json"
	"math"
	"sync"
	"time"
)

// Bounds of the learned ratios of actual to declared run time.
const (
	ratioBuckets  = 81   // buckets of a factor 2^(1/8) from 1/32 to 32
	bucketsPerTwo = 8    // buckets in which a ratio doubles
	ratioOffset   = 40   // bucket of ratio 1
	keptWeight    = 0.98 // share of old weight kept at each observation
	trustedWeight = 4.0  // observations that weigh as much as the wider group's
	shortestRun   = time.Second
)

// Estimates learns, per service and template, how far actual run times are
// from declared ones. It is safe for concurrent use.
type Estimates struct {
	mu       sync.RWMutex
	learned  map[string]*ratios // by service and template
	services map[string]*ratios // by service
	all      ratios
}

// ratios is a decaying histogram of actual over declared run time.
type ratios struct {
	Weight [ratioBuckets]float64 `json:"weight"`
	Total  float64               `json:"total"`
}

// NewEstimates returns estimates that trust declared run times until they
// have seen others.
func NewEstimates() *Estimates {
	return &Estimates{learned: map[string]*ratios{}, services: map[string]*ratios{}}
}

// Observe learns from a run that came to its own end.
func (e *Estimates) Observe(service, template string, declared, actual time.Duration) {
	e.mu.Lock()
	defer e.mu.Unlock()
	b := bucketOf(declared, actual)
	entry(e.learned, key(service, template)).add(b)
	entry(e.services, service).add(b)
	e.all.add(b)
}

// Predict returns the run time that a job stays under with the given
// probability (quantile, from 0 to 1).
func (e *Estimates) Predict(service, template string, declared time.Duration, quantile float64) time.Duration {
	return e.PredictAfter(service, template, declared, 0, quantile)
}

// PredictAfter is Predict for a job that is known to have run for elapsed.
func (e *Estimates) PredictAfter(service, template string, declared, elapsed time.Duration, quantile float64) time.Duration {
	return predictFrom(e.blended(service, template), max(declared, shortestRun), elapsed, quantile)
}

func predictFrom(r *ratios, declared, elapsed time.Duration, q float64) time.Duration {
	ratio := r.quantile(float64(elapsed)/float64(declared), q)
	return max(time.Duration(ratio*float64(declared)), elapsed+elapsed/4)
}

// blended weighs a template's own history against its service's, and that
// against everything seen and the declared time itself.
func (e *Estimates) blended(service, template string) *ratios {
	e.mu.RLock()
	defer e.mu.RUnlock()
	mix := &ratios{Total: 1}
	mix.Weight[ratioOffset] = 1
	mix.mixIn(&e.all)
	if s := e.services[service]; s != nil {
		mix.mixIn(s)
	}
	if l := e.learned[key(service, template)]; l != nil {
		mix.mixIn(l)
	}
	return mix
}

// mixIn scales r down to trustedWeight and adds the finer group's history.
func (r *ratios) mixIn(finer *ratios) {
	if finer.Total == 0 {
		return
	}
	scale := min(1, trustedWeight/r.Total)
	r.Total = 0
	for i := range r.Weight {
		r.Weight[i] = r.Weight[i]*scale + finer.Weight[i]
		r.Total += r.Weight[i]
	}
}

func (r *ratios) add(bucket int) {
	for i := range r.Weight {
		r.Weight[i] *= keptWeight
	}
	r.Weight[bucket]++
	r.Total = r.Total*keptWeight + 1
}

// quantile returns the ratio under which a share q of the weight above the
// ratio passed lies.
func (r *ratios) quantile(passed, q float64) float64 {
	first := 0
	if passed > 0 {
		first = min(bucketOfRatio(passed)+1, ratioBuckets)
	}
	total := 0.0
	for _, w := range r.Weight[first:] {
		total += w
	}
	sum := 0.0
	for i := first; i < ratioBuckets; i++ {
		sum += r.Weight[i]
		if sum > 0 && sum >= q*total {
			return ratioOf(i)
		}
	}
	return passed
}

func bucketOf(declared, actual time.Duration) int {
	return bucketOfRatio(float64(max(actual, shortestRun)) / float64(max(declared, shortestRun)))
}

func bucketOfRatio(ratio float64) int {
	b := ratioOffset + int(math.Round(bucketsPerTwo*math.Log2(ratio)))
	return min(max(b, 0), ratioBuckets-1)
}

func ratioOf(bucket int) float64 {
	return math.Exp2(float64(bucket-ratioOffset) / bucketsPerTwo)
}

func key(service, template string) string { return service + "/" + template }

func entry(m map[string]*ratios, k string) *ratios {
	r := m[k]
	if r == nil {
		r = &ratios{}
		m[k] = r
	}
	return r
}

// estimatesState is the form in which estimates are kept.
type estimatesState struct {
	Learned  map[string]*ratios `json:"learned"`
	Services map[string]*ratios `json:"services"`
	All      ratios             `json:"all"`
}

// MarshalJSON returns what has been learned.
func (e *Estimates) MarshalJSON() ([]byte, error) {
	e.mu.RLock()
	defer e.mu.RUnlock()
	return json.Marshal(estimatesState{Learned: e.learned, Services: e.services, All: e.all})
}

// UnmarshalJSON takes over what MarshalJSON returned.
func (e *Estimates) UnmarshalJSON(data []byte) error {
	s := estimatesState{Learned: map[string]*ratios{}, Services: map[string]*ratios{}}
	if err := json.Unmarshal(data, &s); err != nil {
		return err
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	e.learned, e.services, e.all = s.Learned, s.Services, s.All
	return nil
}
