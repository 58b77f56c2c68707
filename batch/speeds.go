package batch

// Speeds are the scheduler's learned estimates of how long work takes. They are
// stored, so that the next scheduler starts with them.
type Speeds struct {
	Runners   map[string]Speed       `json:"runners,omitempty"`   // by runner ID
	Durations map[string]DurationFit `json:"durations,omitempty"` // by queue
}

// Speed is an estimate of how long a runner takes for its work, relative to an
// average runner.
type Speed struct {
	LogFactor float64 `json:"f"` // logarithm of the time factor; 0: average
	Variance  float64 `json:"v"` // of LogFactor
}

// DurationFit is the line through the declared durations of a queue's steps and the
// work that they turned out to be on an average runner. Durations are logarithms of
// seconds.
type DurationFit struct {
	Declared float64 `json:"d"` // mean declared duration
	Work     float64 `json:"w"` // work of a step that declares the mean
	Slope    float64 `json:"s"` // 1: work grows as declared; 0: declared durations say nothing
	Variance float64 `json:"v"` // of the work around the line
	Weight   float64 `json:"n"` // number of steps that it rests on; 0: nothing is known
}
