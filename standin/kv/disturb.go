package kv

import (
	"math/rand/v2"
	"time"
)

// InjectRandomFaults puts one of the faults at random on the store, each for a random
// while from least to twice least, until stop is closed. Then it ends them.
func (s *Server) InjectRandomFaults(random *rand.Rand, faults []Faults, least time.Duration, stop <-chan struct{}) {
	defer s.SetFaults(Faults{})
	for {
		s.SetFaults(faults[random.IntN(len(faults))])
		timer := time.NewTimer(least + time.Duration(random.Int64N(int64(least))))
		select {
		case <-timer.C:
		case <-stop:
			timer.Stop()
			return
		}
	}
}
