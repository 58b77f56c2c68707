//go:build review

package main

import (
	"encoding/json"
	"net"
	"net/http"
	"slices"
	"sort"
	"strconv"
	"strings"
	"sync"
	"time"
)

// Limits of the platform's store.
const (
	storeLatency   = 4 * time.Millisecond
	storeHistory   = 20 * time.Second
	pageItems      = 500
	pageBytes      = 1 << 20
	maxTxnEntries  = 32
	maxValueBytes  = 1 << 20
	leaseSweepStep = 20 * time.Millisecond
)

// item is one entry of the store, in the form of the platform's pages.
type item struct {
	Key      string `json:"key"`
	Value    []byte `json:"value,omitempty"`
	Revision uint64 `json:"revision"`
	Created  uint64 `json:"created,omitempty"`
	Lease    uint64 `json:"lease"`
	Deleted  bool   `json:"deleted,omitempty"`
	at       time.Time
}

type storeLease struct {
	ttl     time.Duration
	expires time.Time
}

// store is a stand-in of the platform's store: linearizable, with transactions,
// leases and watches. Each host reaches it at an address of its own, so that the
// record shows which host made a call.
type store struct {
	mu        sync.Mutex
	revision  uint64
	items     map[string]item
	keys      []string // of items, and of some that were removed
	sorted    bool     // keys are in order
	history   []item
	compacted uint64
	leases    map[uint64]*storeLease
	changed   chan struct{}
	latency   time.Duration
	lastList  time.Time // when the first page under "batch/" or "progress/" was last read
	listBy    string    // by this host

	// loses decides whether the answer to a write is lost, and the write is carried out
	// lateBy later. nil: none is lost.
	loses  func(firstKey string) bool
	lateBy time.Duration
	log    *record

	down bool // every call is answered with 503
}

func newStore(log *record) *store {
	s := &store{
		revision: 1, items: make(map[string]item), leases: make(map[uint64]*storeLease),
		changed: make(chan struct{}), latency: storeLatency, log: log,
	}
	go func() {
		for {
			time.Sleep(leaseSweepStep)
			s.mu.Lock()
			s.endLeases(time.Now())
			s.mu.Unlock()
		}
	}()
	return s
}

func (s *store) setLatency(d time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.latency = d
}

func (s *store) delay() time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.latency
}

// serve serves the store at address for calls of one host.
func (s *store) serve(address, host string) error {
	l, err := net.Listen("tcp", address)
	if err != nil {
		return err
	}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /-/kv-key", s.get)
	mux.HandleFunc("GET /-/kv-range", func(w http.ResponseWriter, r *http.Request) { s.list(w, r, host) })
	mux.HandleFunc("GET /-/kv-watch", s.watch)
	mux.HandleFunc("POST /-/kv-txn", s.txn)
	mux.HandleFunc("POST /-/kv-lease", s.grant)
	mux.HandleFunc("POST /-/kv-keep/{id}", s.keep)
	mux.HandleFunc("DELETE /-/kv-lease-end/{id}", s.endLeaseCall)
	go func() {
		_ = http.Serve(l, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			if s.isDown() {
				w.WriteHeader(http.StatusServiceUnavailable)
				return
			}
			mux.ServeHTTP(w, r)
		}))
	}()
	return nil
}

// setDown takes the store down, or up again. While it is down, every call is answered
// with 503, and leases run out.
func (s *store) setDown(down bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.down = down
	close(s.changed)
	s.changed = make(chan struct{})
}

func (s *store) isDown() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.down
}

// reply sends the answer after the store's latency.
func (s *store) reply(w http.ResponseWriter, status int, body any) {
	time.Sleep(s.delay())
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(body)
}

func (s *store) get(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	it, found := s.items[r.URL.Query().Get("key")]
	asOf := s.revision
	s.mu.Unlock()
	if !found {
		s.reply(w, http.StatusNotFound, map[string]uint64{"as_of": asOf})
		return
	}
	s.reply(w, http.StatusOK, struct {
		item
		AsOf uint64 `json:"as_of"`
	}{it, asOf})
}

func (s *store) list(w http.ResponseWriter, r *http.Request, host string) {
	prefix, after := r.URL.Query().Get("prefix"), r.URL.Query().Get("after")
	s.mu.Lock()
	if after == "" {
		if prefix == "batch/" || prefix == "progress/" {
			s.lastList, s.listBy = time.Now(), host
		}
	}
	if !s.sorted {
		sort.Strings(s.keys)
		s.keys, s.sorted = slices.Compact(s.keys), true
	}
	page := []item{}
	size, more := 0, false
	for _, key := range s.keys[sort.SearchStrings(s.keys, max(prefix, after)):] {
		if !strings.HasPrefix(key, prefix) {
			break
		}
		it, found := s.items[key]
		if !found || key == after {
			continue
		}
		size += len(it.Value)*4/3 + len(key) + 80
		if len(page) == pageItems || len(page) > 0 && size > pageBytes {
			more = true
			break
		}
		page = append(page, it)
	}
	asOf := s.revision
	s.mu.Unlock()
	s.reply(w, http.StatusOK, map[string]any{"items": page, "has_more": more, "as_of": asOf})
}

func (s *store) watch(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	after, _ := strconv.ParseUint(q.Get("after"), 10, 64)
	wait, _ := strconv.Atoi(q.Get("wait_ms"))
	deadline := time.Now().Add(time.Duration(min(wait, 30_000)) * time.Millisecond)
	for {
		s.mu.Lock()
		if s.down {
			s.mu.Unlock()
			w.WriteHeader(http.StatusServiceUnavailable)
			return
		}
		if after < s.compacted {
			s.mu.Unlock()
			s.reply(w, http.StatusGone, struct{}{})
			return
		}
		events := []item{}
		first := sort.Search(len(s.history), func(i int) bool { return s.history[i].Revision > after })
		asOf := s.revision
		for _, e := range s.history[first:] {
			if len(events) >= pageItems && e.Revision != events[len(events)-1].Revision {
				asOf = events[len(events)-1].Revision
				break
			}
			if strings.HasPrefix(e.Key, q.Get("prefix")) {
				events = append(events, e)
			}
		}
		changed := s.changed
		s.mu.Unlock()
		left := time.Until(deadline)
		if len(events) > 0 || left <= 0 {
			s.reply(w, http.StatusOK, map[string]any{"events": events, "as_of": asOf})
			return
		}
		select {
		case <-changed:
		case <-time.After(left):
		case <-r.Context().Done():
			return
		}
	}
}

type txnBody struct {
	Precondition []struct {
		Key      string `json:"key"`
		Revision uint64 `json:"revision"`
	} `json:"precondition"`
	Puts []struct {
		Key   string `json:"key"`
		Value []byte `json:"value"`
		Lease uint64 `json:"lease"`
	} `json:"puts"`
	Deletes []string `json:"deletes"`
}

func (s *store) txn(w http.ResponseWriter, r *http.Request) {
	var body txnBody
	if err := json.NewDecoder(r.Body).Decode(&body); err != nil || len(body.Precondition)+len(body.Puts)+len(body.Deletes) > maxTxnEntries {
		s.reply(w, http.StatusBadRequest, struct{}{})
		return
	}
	for _, p := range body.Puts {
		if strings.HasPrefix(p.Key, "op/") || strings.HasPrefix(p.Key, "servers/") {
			s.reply(w, http.StatusForbidden, struct{}{})
			return
		}
		if len(p.Value) > maxValueBytes {
			s.reply(w, http.StatusBadRequest, struct{}{})
			return
		}
	}
	if s.isLost(body) {
		time.AfterFunc(s.lateBy, func() {
			status, _ := s.apply(body)
			s.log.printf("store: the write of %s is carried out late: %d", body.Puts[0].Key, status)
		})
		<-r.Context().Done()
		panic(http.ErrAbortHandler)
	}
	status, answer := s.apply(body)
	s.reply(w, status, answer)
}

func (s *store) isLost(body txnBody) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.loses == nil || len(body.Puts) == 0 || !s.loses(body.Puts[0].Key) {
		return false
	}
	s.log.printf("store: the write of %s gets no answer", body.Puts[0].Key)
	return true
}

func (s *store) setLoss(lateBy time.Duration, loses func(firstKey string) bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.loses, s.lateBy = loses, lateBy
}

// apply carries a transaction out if its conditions hold, and returns the answer.
func (s *store) apply(body txnBody) (status int, answer any) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Now()
	s.endLeases(now)
	met := true
	current := []item{}
	for _, c := range body.Precondition {
		it, found := s.items[c.Key]
		if !found {
			it = item{Key: c.Key}
		}
		current = append(current, it)
		met = met && it.Revision == c.Revision
	}
	if !met {
		return http.StatusPreconditionFailed, map[string]any{"items": current}
	}
	for _, p := range body.Puts {
		if p.Lease != 0 && s.leases[p.Lease] == nil {
			return http.StatusNotFound, struct{}{}
		}
	}
	s.revision++
	for _, p := range body.Puts {
		s.put(p.Key, p.Value, p.Lease, now)
	}
	for _, key := range body.Deletes {
		s.remove(key, now)
	}
	s.wake()
	return http.StatusOK, map[string]uint64{"revision": s.revision}
}

// put and remove apply one change at the current revision. The caller holds mu.
func (s *store) put(key string, value []byte, lease uint64, now time.Time) {
	it := item{Key: key, Value: value, Revision: s.revision, Created: s.revision, Lease: lease, at: now}
	if old, found := s.items[key]; found {
		it.Created = old.Created
	} else {
		s.keys, s.sorted = append(s.keys, key), false
	}
	s.items[key] = it
	s.history = append(s.history, it)
}

func (s *store) remove(key string, now time.Time) {
	if _, found := s.items[key]; !found {
		return
	}
	delete(s.items, key)
	s.history = append(s.history, item{Key: key, Revision: s.revision, Deleted: true, at: now})
}

func (s *store) wake() {
	oldest := time.Now().Add(-storeHistory)
	n := 0
	for n < len(s.history) && s.history[n].at.Before(oldest) {
		s.compacted = s.history[n].Revision
		n++
	}
	s.history = s.history[n:]
	close(s.changed)
	s.changed = make(chan struct{})
}

// write puts entries in one revision, as the operator, a runner or another writer
// of the platform does.
func (s *store) write(entries map[string][]byte) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.revision++
	now := time.Now()
	for key, value := range entries {
		s.put(key, value, 0, now)
	}
	s.wake()
}

func (s *store) erase(key string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.revision++
	s.remove(key, time.Now())
	s.wake()
}

func (s *store) value(key string) ([]byte, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	it, found := s.items[key]
	return it.Value, found
}

// lastListed returns when a host last began to list the records under "batch/" or "progress/".
func (s *store) lastListed() (time.Time, string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.lastList, s.listBy
}

func (s *store) endLeases(now time.Time) {
	for id, l := range s.leases {
		if now.After(l.expires) {
			s.endLease(id, now)
		}
	}
}

func (s *store) endLease(id uint64, now time.Time) {
	delete(s.leases, id)
	s.revision++
	for key, it := range s.items {
		if it.Lease == id {
			s.remove(key, now)
		}
	}
	s.wake()
}

func (s *store) grant(w http.ResponseWriter, r *http.Request) {
	var body struct {
		TTLMS int64 `json:"ttl_ms"`
	}
	if err := json.NewDecoder(r.Body).Decode(&body); err != nil {
		s.reply(w, http.StatusBadRequest, struct{}{})
		return
	}
	ttl := min(max(body.TTLMS, 1000), 600_000)
	s.mu.Lock()
	s.revision++
	id := s.revision
	d := time.Duration(ttl) * time.Millisecond
	s.leases[id] = &storeLease{ttl: d, expires: time.Now().Add(d)}
	s.mu.Unlock()
	s.reply(w, http.StatusOK, map[string]any{"lease": id, "ttl_ms": ttl})
}

func (s *store) keep(w http.ResponseWriter, r *http.Request) {
	id, _ := strconv.ParseUint(r.PathValue("id"), 10, 64)
	s.mu.Lock()
	s.endLeases(time.Now())
	l := s.leases[id]
	if l != nil {
		l.expires = time.Now().Add(l.ttl)
	}
	s.mu.Unlock()
	if l == nil {
		s.reply(w, http.StatusNotFound, struct{}{})
		return
	}
	s.reply(w, http.StatusOK, map[string]any{"lease": id, "ttl_ms": l.ttl.Milliseconds()})
}

func (s *store) endLeaseCall(w http.ResponseWriter, r *http.Request) {
	id, _ := strconv.ParseUint(r.PathValue("id"), 10, 64)
	s.mu.Lock()
	found := s.leases[id] != nil
	if found {
		s.endLease(id, time.Now())
	}
	s.mu.Unlock()
	if !found {
		s.reply(w, http.StatusNotFound, struct{}{})
		return
	}
	s.reply(w, http.StatusOK, struct{}{})
}
