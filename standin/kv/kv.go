// Package kv is a stand-in for the platform's key-value service and host list,
// for tests and the dev command. It speaks the part of the Consul HTTP API that
// the platform client uses: /v1/kv with cas, acquire and blocking reads, and
// /v1/session. The host list is /v1/hosts.
package kv

import (
	"encoding/json"
	"io"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/cyclamentray/cyclamentray/platform"
)

const (
	maxWait     = 30 * time.Second
	defaultWait = 10 * time.Second
)

// Pair is a key as the HTTP API shows it. Value is base64 in JSON.
type Pair struct {
	Key         string
	Value       []byte
	ModifyIndex uint64
	Session     string `json:",omitempty"`
}

type session struct {
	ttl     time.Duration
	expires time.Time
}

// Server is the stand-in. Its zero value is not usable; call New.
// It is safe for concurrent use.
type Server struct {
	mu       sync.Mutex
	index    uint64
	pairs    map[string]Pair
	sessions map[string]*session
	changed  chan struct{} // closed and replaced at every write
	hosts    []platform.Host
	calls    map[string]int
	now      func() time.Time
}

// New returns an empty store.
func New() *Server {
	return &Server{
		pairs:    make(map[string]Pair),
		sessions: make(map[string]*session),
		changed:  make(chan struct{}),
		calls:    make(map[string]int),
		now:      time.Now,
	}
}

// SetHosts replaces the host list.
func (s *Server) SetHosts(hosts []platform.Host) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.hosts = append([]platform.Host(nil), hosts...)
}

// Calls returns how often each kind of call was made.
func (s *Server) Calls() map[string]int {
	s.mu.Lock()
	defer s.mu.Unlock()
	out := make(map[string]int, len(s.calls))
	for k, n := range s.calls {
		out[k] = n
	}
	return out
}

func (s *Server) count(kind string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.calls[kind]++
}

// ServeHTTP answers the platform's HTTP API.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	switch {
	case strings.HasPrefix(r.URL.Path, "/v1/kv/"):
		s.serveKey(w, r, strings.TrimPrefix(r.URL.Path, "/v1/kv/"))
	case r.URL.Path == "/v1/session/create":
		s.serveCreate(w, r)
	case strings.HasPrefix(r.URL.Path, "/v1/session/renew/"):
		s.serveRenew(w, strings.TrimPrefix(r.URL.Path, "/v1/session/renew/"))
	case strings.HasPrefix(r.URL.Path, "/v1/session/destroy/"):
		s.serveDestroy(w, strings.TrimPrefix(r.URL.Path, "/v1/session/destroy/"))
	case r.URL.Path == "/v1/hosts":
		s.serveHosts(w, r)
	default:
		http.NotFound(w, r)
	}
}

func (s *Server) serveHosts(w http.ResponseWriter, r *http.Request) {
	s.count("hosts")
	if r.Method == http.MethodPut {
		var hosts []platform.Host
		if err := json.NewDecoder(r.Body).Decode(&hosts); err != nil {
			http.Error(w, err.Error(), http.StatusBadRequest)
			return
		}
		s.SetHosts(hosts)
		return
	}
	s.mu.Lock()
	hosts := s.hosts
	s.mu.Unlock()
	writeJSON(w, hosts)
}

func (s *Server) serveKey(w http.ResponseWriter, r *http.Request, key string) {
	switch r.Method {
	case http.MethodGet:
		s.serveGet(w, r, key)
	case http.MethodPut:
		s.servePut(w, r, key)
	default:
		http.Error(w, "method not allowed", http.StatusMethodNotAllowed)
	}
}

func (s *Server) serveGet(w http.ResponseWriter, r *http.Request, key string) {
	after, blocking := parseIndex(r)
	if blocking {
		s.count("watch")
		s.wait(r, key, after)
	} else {
		s.count("get")
	}
	s.mu.Lock()
	s.expire()
	pair, found := s.pairs[key]
	index := s.index
	s.mu.Unlock()
	w.Header().Set("X-Consul-Index", strconv.FormatUint(index, 10))
	if !found {
		http.Error(w, "", http.StatusNotFound)
		return
	}
	writeJSON(w, []Pair{pair})
}

func parseIndex(r *http.Request) (after uint64, blocking bool) {
	text := r.URL.Query().Get("index")
	if text == "" {
		return 0, false
	}
	after, err := strconv.ParseUint(text, 10, 64)
	return after, err == nil
}

// wait blocks until the key's index differs from after or the wait ends.
func (s *Server) wait(r *http.Request, key string, after uint64) {
	limit := defaultWait
	if d, err := time.ParseDuration(r.URL.Query().Get("wait")); err == nil && d > 0 && d < maxWait {
		limit = d
	}
	timer := time.NewTimer(limit)
	defer timer.Stop()
	for {
		s.mu.Lock()
		s.expire()
		pair := s.pairs[key]
		changed := s.changed
		s.mu.Unlock()
		if pair.ModifyIndex != after {
			return
		}
		select {
		case <-changed:
		case <-timer.C:
			return
		case <-r.Context().Done():
			return
		}
	}
}

func (s *Server) servePut(w http.ResponseWriter, r *http.Request, key string) {
	s.count("put")
	value, err := io.ReadAll(io.LimitReader(r.Body, platform.MaxValueBytes+1))
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	if len(value) > platform.MaxValueBytes {
		http.Error(w, "value too large", http.StatusRequestEntityTooLarge)
		return
	}
	s.mu.Lock()
	written := s.put(key, value, r)
	index := s.pairs[key].ModifyIndex
	s.mu.Unlock()
	w.Header().Set("X-Consul-Index", strconv.FormatUint(index, 10))
	writeJSON(w, written)
}

// put applies a write when its condition holds. The caller holds mu.
func (s *Server) put(key string, value []byte, r *http.Request) bool {
	s.expire()
	query := r.URL.Query()
	old := s.pairs[key]
	next := Pair{Key: key, Value: value, Session: old.Session}
	if text := query.Get("cas"); text != "" {
		want, err := strconv.ParseUint(text, 10, 64)
		if err != nil || want != old.ModifyIndex {
			return false
		}
	}
	if id := query.Get("acquire"); id != "" {
		if s.sessions[id] == nil || (old.Session != "" && old.Session != id) {
			return false
		}
		next.Session = id
	}
	s.index++
	next.ModifyIndex = s.index
	s.pairs[key] = next
	s.announce()
	return true
}

// announce wakes every waiting watch. The caller holds mu.
func (s *Server) announce() {
	close(s.changed)
	s.changed = make(chan struct{})
}

// expire frees the keys of lapsed sessions. The caller holds mu.
func (s *Server) expire() {
	now := s.now()
	for id, sess := range s.sessions {
		if now.After(sess.expires) {
			s.drop(id)
		}
	}
}

// drop ends a session and frees its keys. The caller holds mu.
func (s *Server) drop(id string) {
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
		s.announce()
	}
}

func (s *Server) serveCreate(w http.ResponseWriter, r *http.Request) {
	s.count("session")
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

func (s *Server) serveRenew(w http.ResponseWriter, id string) {
	s.count("renew")
	s.mu.Lock()
	s.expire()
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

func (s *Server) serveDestroy(w http.ResponseWriter, id string) {
	s.count("session")
	s.mu.Lock()
	s.drop(id)
	s.mu.Unlock()
	writeJSON(w, true)
}

func writeJSON(w http.ResponseWriter, value any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(value)
}
