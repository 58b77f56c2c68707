package kv

import (
	"math/rand/v2"
	"time"
)

// InjectRandomFaults sets one of the given faults at random, each for a random
// time between minDuration and twice minDuration, until stop is closed. Then it
// clears the faults.
func (s *Server) InjectRandomFaults(random *rand.Rand, faults []Faults, minDuration time.Duration, stop <-chan struct{}) {
	defer s.SetFaults(Faults{})
	for {
		s.SetFaults(faults[random.IntN(len(faults))])
		timer := time.NewTimer(minDuration + time.Duration(random.Int64N(int64(minDuration))))
		select {
		case <-timer.C:
		case <-stop:
			timer.Stop()
			return
		}
	}
}
