package batch

// Speeds are the scheduler's learned estimates of how long work takes. They are
// stored, so that the next scheduler starts with them.
type Speeds struct {
	Runners map[string]Speed   `json:"runners,omitempty"` // by runner ID
	Queues  map[string]float64 `json:"queues,omitempty"`  // by queue: logarithm of the factor by which declared durations are off
}

// Speed is an estimate of how long a runner takes for its work, relative to an
// average runner.
type Speed struct {
	LogFactor float64 `json:"f"` // logarithm of the time factor; 0: average
	Variance  float64 `json:"v"` // of LogFactor
}
