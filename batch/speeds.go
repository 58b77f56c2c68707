package batch

// Speeds is what a scheduler has learned of how long work takes. It outlives
// the scheduler in the store.
type Speeds struct {
	Runners map[string]Speed   `json:"runners,omitempty"` // by id
	Queues  map[string]float64 `json:"queues,omitempty"`  // logarithm of how far declared durations are off
}

// Speed is an estimate of how long a runner takes relative to the others.
type Speed struct {
	LogFactor float64 `json:"f"` // logarithm of the factor; 0 is an average runner
	Variance  float64 `json:"v"` // of LogFactor
}
