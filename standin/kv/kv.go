// Package kv is a stand-in for the platform's key-value service and host list.
// It serves the part of the Consul HTTP API that the platform client uses:
// /v1/kv with cas, acquire and blocking reads, and /v1/session. The host list is
// at /v1/hosts. Faults are injected by SetFaults or a PUT to FaultsPath. A Server
// holds the keys, sessions, host list and faults in memory. Tests, the dev
// command and the standin command use it.
package kv

import (
	"encoding/json"
	"io"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/cyclamentray/cyclamentray/kvstore"
)

const (
	maxWait             = 30 * time.Second
	defaultWait         = 10 * time.Second
	expiryCheckInterval = 50 * time.Millisecond
)

// Pair is a key and its value as the HTTP API returns it. Value is base64 in
// JSON.
type Pair struct {
	Key         string
	Value       []byte
	ModifyIndex uint64
	Session     string `json:",omitempty"`
	Flags       uint64
}

// Server serves the store and the host list. Its zero value is not usable; call
// New. It is safe for concurrent use.
type Server struct {
	mu        sync.Mutex
	index     uint64
	pairs     map[string]Pair
	sessions  map[string]*session
	changed   chan struct{} // closed and replaced at every write
	hosts     hostList
	calls     map[string]int
	faults    Faults
	staleCopy map[string]Pair // what reads use while Faults.StaleReads is set
	now       func() time.Time
}

// New returns an empty store.
func New() *Server {
	return &Server{
		pairs:    make(map[string]Pair),
		sessions: make(map[string]*session),
		changed:  make(chan struct{}),
		hosts:    hostList{changed: make(chan struct{})},
		calls:    make(map[string]int),
		now:      time.Now,
	}
}

// Calls returns the number of calls by kind of call.
func (s *Server) Calls() map[string]int {
	s.mu.Lock()
	defer s.mu.Unlock()
	out := make(map[string]int, len(s.calls))
	for k, n := range s.calls {
		out[k] = n
	}
	return out
}

func (s *Server) countCall(kind string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.calls[kind]++
}

// ServeHTTP serves the platform's HTTP API and FaultsPath.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if r.URL.Path == FaultsPath {
		s.serveFaults(w, r)
		return
	}
	if !s.applyFaults(w) {
		return
	}
	switch {
	case strings.HasPrefix(r.URL.Path, "/v1/kv/"):
		s.serveKey(w, r, strings.TrimPrefix(r.URL.Path, "/v1/kv/"))
	case r.URL.Path == "/v1/session/create":
		s.serveSessionCreate(w, r)
	case strings.HasPrefix(r.URL.Path, "/v1/session/renew/"):
		s.serveSessionRenew(w, strings.TrimPrefix(r.URL.Path, "/v1/session/renew/"))
	case strings.HasPrefix(r.URL.Path, "/v1/session/destroy/"):
		s.serveSessionDestroy(w, strings.TrimPrefix(r.URL.Path, "/v1/session/destroy/"))
	case r.URL.Path == "/v1/hosts":
		s.serveHosts(w, r)
	default:
		http.NotFound(w, r)
	}
}

func (s *Server) serveKey(w http.ResponseWriter, r *http.Request, key string) {
	switch r.Method {
	case http.MethodGet:
		s.serveGet(w, r, key)
	case http.MethodPut:
		s.servePut(w, r, key)
	case http.MethodDelete:
		s.serveDelete(w, key)
	default:
		http.Error(w, "method not allowed", http.StatusMethodNotAllowed)
	}
}

func (s *Server) serveGet(w http.ResponseWriter, r *http.Request, key string) {
	after, blocking := parseIndex(r)
	if blocking {
		s.countCall("watch")
		if s.blockSilentWatch(r) {
			return
		}
		s.waitForChange(r, key, after)
	} else {
		s.countCall("get")
	}
	s.mu.Lock()
	s.endExpiredSessions()
	pair, found := s.pairsForReads()[key]
	index := s.index
	s.mu.Unlock()
	keysOnly := r.URL.Query().Has("keys")
	if keysOnly {
		index = pair.ModifyIndex // index of the listed keys, which is one key here
	}
	w.Header().Set("X-Consul-Index", strconv.FormatUint(index, 10))
	switch {
	case !found:
		http.Error(w, "", http.StatusNotFound)
	case keysOnly:
		writeJSON(w, []string{key})
	default:
		writeJSON(w, []Pair{pair})
	}
}

func parseIndex(r *http.Request) (after uint64, blocking bool) {
	text := r.URL.Query().Get("index")
	if text == "" {
		return 0, false
	}
	after, err := strconv.ParseUint(text, 10, 64)
	return after, err == nil
}

// waitLimit returns the wait that a blocking read asks for; defaultWait if it is
// missing, invalid or longer than maxWait.
func waitLimit(r *http.Request) time.Duration {
	d, err := time.ParseDuration(r.URL.Query().Get("wait"))
	if err != nil || d <= 0 || d > maxWait {
		return defaultWait
	}
	return d
}

// waitForChange blocks until the key's index differs from after, the wait ends or
// the caller gives up.
func (s *Server) waitForChange(r *http.Request, key string, after uint64) {
	timer := time.NewTimer(waitLimit(r))
	defer timer.Stop()
	for {
		s.mu.Lock()
		s.endExpiredSessions()
		pair := s.pairsForReads()[key]
		changed := s.changed
		s.mu.Unlock()
		if pair.ModifyIndex != after {
			return
		}
		select {
		case <-changed:
		case <-time.After(expiryCheckInterval): // a session that expired may release the key
		case <-timer.C:
			return
		case <-r.Context().Done():
			return
		}
	}
}

func (s *Server) servePut(w http.ResponseWriter, r *http.Request, key string) {
	s.countCall("put")
	value, err := io.ReadAll(io.LimitReader(r.Body, kvstore.MaxValueBytes+1))
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	if len(value) > kvstore.MaxValueBytes {
		http.Error(w, "value too large", http.StatusRequestEntityTooLarge)
		return
	}
	s.mu.Lock()
	written := s.put(key, value, r)
	index := s.pairs[key].ModifyIndex
	s.mu.Unlock()
	if s.shouldLoseAnswer() {
		panic(http.ErrAbortHandler) // closes the connection without an answer
	}
	w.Header().Set("X-Consul-Index", strconv.FormatUint(index, 10))
	writeJSON(w, written)
}

// put applies a write if its cas and acquire conditions hold, and reports whether
// it did. The caller holds mu.
func (s *Server) put(key string, value []byte, r *http.Request) bool {
	s.endExpiredSessions()
	query := r.URL.Query()
	old := s.pairs[key]
	next := Pair{Key: key, Value: value, Session: old.Session}
	next.Flags, _ = strconv.ParseUint(query.Get("flags"), 10, 64)
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
	s.wakeWatches()
	return true
}

// wakeWatches wakes all waiting watches of keys. The caller holds mu.
func (s *Server) wakeWatches() {
	close(s.changed)
	s.changed = make(chan struct{})
}

func (s *Server) serveDelete(w http.ResponseWriter, key string) {
	s.countCall("delete")
	s.mu.Lock()
	defer s.mu.Unlock()
	if _, found := s.pairs[key]; found {
		delete(s.pairs, key)
		s.index++
		s.wakeWatches()
	}
	writeJSON(w, true)
}

// Keys returns the names of all keys, in no order.
func (s *Server) Keys() []string {
	s.mu.Lock()
	defer s.mu.Unlock()
	var names []string
	for name := range s.pairs {
		names = append(names, name)
	}
	return names
}

func writeJSON(w http.ResponseWriter, value any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(value)
}
