package kv

import (
	"encoding/json"
	"maps"
	"net/http"
	"time"
)

// FaultsPath is the URL path that sets the faults by a PUT of Faults as JSON, for
// tests that run the server as a process. It works while Faults.Down is set too.
const FaultsPath = "/standin/faults"

// Faults are the faults that the server injects. The zero value injects none.
type Faults struct {
	Down          bool          // every call has no effect and is answered with status 503
	Delay         time.Duration // delay of every call before it takes effect
	LoseAnswers   int           // number of next writes that take effect but get no answer; negative: all
	StaleReads    bool          // reads and watches use the copy made by CopyForStaleReads
	SilentWatches bool          // watches are never answered, not even at the end of their wait
	HostLag       time.Duration // delay before a change of the host list is visible
}

// SetFaults replaces the faults. It doesn't affect watches that already wait.
func (s *Server) SetFaults(f Faults) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults = f
}

// CopyForStaleReads copies the keys as they are now; reads use the copy while
// Faults.StaleReads is set.
func (s *Server) CopyForStaleReads() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.staleCopy = maps.Clone(s.pairs)
}

func (s *Server) serveFaults(w http.ResponseWriter, r *http.Request) {
	var f Faults
	if err := json.NewDecoder(r.Body).Decode(&f); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	s.SetFaults(f)
	writeJSON(w, f)
}

// applyFaults delays or refuses a call, and reports whether to handle it. A
// delayed write takes effect even if its caller has given up meanwhile.
func (s *Server) applyFaults(w http.ResponseWriter) bool {
	s.mu.Lock()
	f := s.faults
	s.mu.Unlock()
	if f.Delay > 0 {
		time.Sleep(f.Delay)
	}
	if f.Down {
		s.countCall("refused")
		http.Error(w, "no cluster leader", http.StatusServiceUnavailable)
		return false
	}
	return true
}

// blockSilentWatch blocks until the caller gives up if SilentWatches is set. It
// reports whether it is set.
func (s *Server) blockSilentWatch(r *http.Request) bool {
	s.mu.Lock()
	silent := s.faults.SilentWatches
	s.mu.Unlock()
	if silent {
		<-r.Context().Done()
	}
	return silent
}

// shouldLoseAnswer reports whether the present write gets no answer, and counts it
// against LoseAnswers.
func (s *Server) shouldLoseAnswer() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.faults.LoseAnswers > 0 {
		s.faults.LoseAnswers--
		return true
	}
	return s.faults.LoseAnswers < 0
}

// pairsForReads returns the stale copy if StaleReads is set, otherwise the present
// keys. The caller holds mu.
func (s *Server) pairsForReads() map[string]Pair {
	if s.faults.StaleReads {
		return s.staleCopy
	}
	return s.pairs
}
