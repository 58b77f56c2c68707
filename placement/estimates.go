package placement

import (
	"encoding/json"
	"math"
	"sync"
	"time"
)

// Parameters of the learned ratios of actual to declared run time.
const (
	bucketCount        = 81          // each spans a factor of 2^(1/8), together from 1/32 to 32
	bucketsPerDoubling = 8           // buckets over which the ratio doubles
	bucketOfOne        = 40          // bucket of ratio 1
	decayFactor        = 0.98        // share of the old weight kept at each observation
	maxPriorWeight     = 4.0         // most that the wider group's history weighs, in observations
	minRun             = time.Second // shorter run times are treated as this
)

// Estimates learns, for each service and template, the ratio of actual to declared
// run times. It is safe for concurrent use.
type Estimates struct {
	mu         sync.RWMutex
	byTemplate map[string]*ratios // by service and template
	byService  map[string]*ratios // by service
	all        ratios
}

// ratios is a decaying histogram of actual over declared run time.
type ratios struct {
	Weight [bucketCount]float64 `json:"weight"`
	Total  float64              `json:"total"`
}

// NewEstimates returns estimates without observations, which predict the declared
// run times.
func NewEstimates() *Estimates {
	return &Estimates{byTemplate: map[string]*ratios{}, byService: map[string]*ratios{}}
}

// Observe records a run that ended by itself.
func (e *Estimates) Observe(service, template string, declared, actual time.Duration) {
	e.mu.Lock()
	defer e.mu.Unlock()
	b := bucketOf(declared, actual)
	ratiosFor(e.byTemplate, estimateKey(service, template)).add(b)
	ratiosFor(e.byService, service).add(b)
	e.all.add(b)
}

// Predict returns the run time that a job does not exceed with the given
// probability (quantile, from 0 to 1).
func (e *Estimates) Predict(service, template string, declared time.Duration, quantile float64) time.Duration {
	return e.PredictAfter(service, template, declared, 0, quantile)
}

// PredictAfter is Predict for a job that has already run for elapsed.
func (e *Estimates) PredictAfter(service, template string, declared, elapsed time.Duration, quantile float64) time.Duration {
	return predictFrom(e.blendedRatios(service, template), max(declared, minRun), elapsed, quantile)
}

// predictFrom applies a quantile of the ratios to the declared run time. The result
// exceeds elapsed by at least a quarter.
func predictFrom(r *ratios, declared, elapsed time.Duration, q float64) time.Duration {
	ratio := r.quantile(float64(elapsed)/float64(declared), q)
	return max(time.Duration(ratio*float64(declared)), elapsed+elapsed/4)
}

// blendedRatios weighs a template's own history against its service's, and that
// against the history of all services and the declared run time.
func (e *Estimates) blendedRatios(service, template string) *ratios {
	e.mu.RLock()
	defer e.mu.RUnlock()
	mix := &ratios{Total: 1}
	mix.Weight[bucketOfOne] = 1
	mix.mixIn(&e.all)
	if s := e.byService[service]; s != nil {
		mix.mixIn(s)
	}
	if t := e.byTemplate[estimateKey(service, template)]; t != nil {
		mix.mixIn(t)
	}
	return mix
}

// mixIn scales r down to a weight of at most maxPriorWeight and adds the history of
// a narrower group.
func (r *ratios) mixIn(narrower *ratios) {
	if narrower.Total == 0 {
		return
	}
	scale := min(1, maxPriorWeight/r.Total)
	r.Total = 0
	for i := range r.Weight {
		r.Weight[i] = r.Weight[i]*scale + narrower.Weight[i]
		r.Total += r.Weight[i]
	}
}

func (r *ratios) add(bucket int) {
	for i := range r.Weight {
		r.Weight[i] *= decayFactor
	}
	r.Weight[bucket]++
	r.Total = r.Total*decayFactor + 1
}

// quantile returns the ratio below which a share q of the weight above elapsedRatio
// lies, or elapsedRatio if no weight lies above it.
func (r *ratios) quantile(elapsedRatio, q float64) float64 {
	first := 0
	if elapsedRatio > 0 {
		first = min(bucketOfRatio(elapsedRatio)+1, bucketCount)
	}
	total := 0.0
	for _, w := range r.Weight[first:] {
		total += w
	}
	sum := 0.0
	for i := first; i < bucketCount; i++ {
		sum += r.Weight[i]
		if sum > 0 && sum >= q*total {
			return ratioOf(i)
		}
	}
	return elapsedRatio
}

func bucketOf(declared, actual time.Duration) int {
	return bucketOfRatio(float64(max(actual, minRun)) / float64(max(declared, minRun)))
}

func bucketOfRatio(ratio float64) int {
	b := bucketOfOne + int(math.Round(bucketsPerDoubling*math.Log2(ratio)))
	return min(max(b, 0), bucketCount-1)
}

func ratioOf(bucket int) float64 {
	return math.Exp2(float64(bucket-bucketOfOne) / bucketsPerDoubling)
}

func estimateKey(service, template string) string { return service + "/" + template }

// ratiosFor returns the ratios of a key, adding empty ones if it has none.
func ratiosFor(m map[string]*ratios, k string) *ratios {
	r := m[k]
	if r == nil {
		r = &ratios{}
		m[k] = r
	}
	return r
}

// estimatesState is the JSON form of Estimates.
type estimatesState struct {
	Learned  map[string]*ratios `json:"learned"`
	Services map[string]*ratios `json:"services"`
	All      ratios             `json:"all"`
}

// MarshalJSON returns the learned ratios.
func (e *Estimates) MarshalJSON() ([]byte, error) {
	e.mu.RLock()
	defer e.mu.RUnlock()
	return json.Marshal(estimatesState{Learned: e.byTemplate, Services: e.byService, All: e.all})
}

// UnmarshalJSON replaces the learned ratios by those that MarshalJSON returned.
func (e *Estimates) UnmarshalJSON(data []byte) error {
	s := estimatesState{Learned: map[string]*ratios{}, Services: map[string]*ratios{}}
	if err := json.Unmarshal(data, &s); err != nil {
		return err
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	e.byTemplate, e.byService, e.all = s.Learned, s.Services, s.All
	return nil
}
