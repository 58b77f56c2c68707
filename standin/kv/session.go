package kv

import (
	"encoding/json"
	"net/http"
	"strconv"
	"time"
)

type session struct {
	ttl     time.Duration
	expires time.Time
}

// endExpiredSessions ends the sessions that have expired. The caller holds mu.
func (s *Server) endExpiredSessions() {
	now := s.now()
	for id, sess := range s.sessions {
		if now.After(sess.expires) {
			s.endSession(id)
		}
	}
}

// endSession ends a session and releases the keys that it holds. The caller holds
// mu.
func (s *Server) endSession(id string) {
	delete(s.sessions, id)
	freed := false
	for key, pair := range s.pairs {
		if pair.Session != id {
			continue
		}
		s.index++
		pair.Session = ""
		pair.ModifyIndex = s.index
		s.pairs[key] = pair
		freed = true
	}
	if freed {
		s.wakeWatches()
	}
}

func (s *Server) serveSessionCreate(w http.ResponseWriter, r *http.Request) {
	s.countCall("session")
	var req struct{ TTL string }
	if err := json.NewDecoder(r.Body).Decode(&req); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	ttl, err := time.ParseDuration(req.TTL)
	if err != nil || ttl <= 0 {
		http.Error(w, "bad TTL", http.StatusBadRequest)
		return
	}
	s.mu.Lock()
	s.index++
	id := "session-" + strconv.FormatUint(s.index, 10)
	s.sessions[id] = &session{ttl: ttl, expires: s.now().Add(ttl)}
	s.mu.Unlock()
	writeJSON(w, map[string]string{"ID": id})
}

func (s *Server) serveSessionRenew(w http.ResponseWriter, id string) {
	s.countCall("renew")
	s.mu.Lock()
	s.endExpiredSessions()
	sess := s.sessions[id]
	if sess != nil {
		sess.expires = s.now().Add(sess.ttl)
	}
	s.mu.Unlock()
	if sess == nil {
		http.Error(w, "session not found", http.StatusNotFound)
		return
	}
	writeJSON(w, []map[string]string{{"ID": id}})
}

func (s *Server) serveSessionDestroy(w http.ResponseWriter, id string) {
	s.countCall("session")
	s.mu.Lock()
	s.endSession(id)
	s.mu.Unlock()
	writeJSON(w, true)
}
