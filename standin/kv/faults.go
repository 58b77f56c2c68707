package kv

import (
	"encoding/json"
	"maps"
	"net/http"
	"time"
)

// FaultsPath takes a PUT of Faults as JSON, for tests with real processes. It
// works during an outage too.
const FaultsPath = "/standin/faults"

// Faults is what goes wrong in the store. Its zero value is a sound store.
type Faults struct {
	Down          bool          // every call is answered with status 503, without effect
	Delay         time.Duration // before every call takes effect
	LoseAnswers   int           // answers of the next writes to lose after their effect; negative: all
	StaleReads    bool          // reads answer from the copy that CopyForStaleReads made
	SilentWatches bool          // watches are never answered
	HostLag       time.Duration // before a change of the host list shows
}

// SetFaults replaces the faults. Watches that wait go on waiting.
func (s *Server) SetFaults(f Faults) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults = f
}

// CopyForStaleReads makes the copy that stale reads answer from.
func (s *Server) CopyForStaleReads() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.copied = maps.Clone(s.pairs)
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

// disturb delays a call, and reports whether it may go on. A delayed write takes
// effect although its caller may have given up.
func (s *Server) disturb(w http.ResponseWriter) bool {
	s.mu.Lock()
	f := s.faults
	s.mu.Unlock()
	if f.Delay > 0 {
		time.Sleep(f.Delay)
	}
	if f.Down {
		s.count("refused")
		http.Error(w, "no cluster leader", http.StatusServiceUnavailable)
		return false
	}
	return true
}

// silent holds a watch until its caller gives up, when watches are silent.
func (s *Server) silent(r *http.Request) bool {
	s.mu.Lock()
	silent := s.faults.SilentWatches
	s.mu.Unlock()
	if silent {
		<-r.Context().Done()
	}
	return silent
}

// loseAnswer reports whether the answer of this write is to be lost.
func (s *Server) loseAnswer() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.faults.LoseAnswers > 0 {
		s.faults.LoseAnswers--
		return true
	}
	return s.faults.LoseAnswers < 0
}

// readable returns what reads answer from. The caller holds mu.
func (s *Server) readable() map[string]Pair {
	if s.faults.StaleReads {
		return s.copied
	}
	return s.pairs
}
