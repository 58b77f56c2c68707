// Package upstream is a stand-in for one runner of a service that takes short
// requests, for tests, benchmarks and the dev command.
package upstream

import (
	"encoding/json"
	"io"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"time"
)

const (
	defaultSlots = 8
	defaultSpeed = 1.0
)

// Headers that an upstream and an entry host agree on.
const (
	headerOutcome = "Cyclamentray-Outcome"
	headerReason  = "Cyclamentray-Reason"
	headerRequest = "Cyclamentray-Request"
	headerKey     = "Idempotency-Key"
	headerWork    = "Work-Micros" // asks for this much work, in microseconds at speed 1
)

// Options configure a stand-in upstream.
type Options struct {
	Name  string
	Slots int           // requests worked on at once; 0: 8
	Work  time.Duration // work of a request at speed 1; the header Work-Micros overrides it
	Speed float64       // divides the work; 0: 1
	// Answer, when set, builds the answer's body in place of the default identity.
	Answer func(r *http.Request, body []byte) []byte
}

// Identity is the body of an answer: who ran which request.
type Identity struct {
	Upstream  string `json:"upstream"`
	Method    string `json:"method"`
	Path      string `json:"path"`
	Key       string `json:"key,omitempty"`
	Execution int64  `json:"execution"` // number of requests executed so far, this one included
	Body      string `json:"body,omitempty"`
}

// Upstream is the stand-in. It is an http.Handler, safe for concurrent use.
type Upstream struct {
	opts  Options
	slots chan struct{}

	leaving   atomic.Bool
	executed  atomic.Int64
	refused   atomic.Int64
	arrived   atomic.Int64
	present   atomic.Int64
	peak      atomic.Int64
	lastStart atomic.Int64 // Unix nanoseconds

	mu     sync.Mutex
	perKey map[string]int
}

// New returns an upstream with free slots.
func New(o Options) *Upstream {
	if o.Slots <= 0 {
		o.Slots = defaultSlots
	}
	if o.Speed <= 0 {
		o.Speed = defaultSpeed
	}
	return &Upstream{opts: o, slots: make(chan struct{}, o.Slots), perKey: make(map[string]int)}
}

// Leave makes the upstream refuse new requests with 503 and Connection: close.
// Requests already being worked on finish.
func (u *Upstream) Leave() { u.leaving.Store(true) }

// Rejoin takes new requests again.
func (u *Upstream) Rejoin() { u.leaving.Store(false) }

// Executed returns how many requests were executed.
func (u *Upstream) Executed() int64 { return u.executed.Load() }

// Refused returns how many requests were refused because the upstream is leaving.
func (u *Upstream) Refused() int64 { return u.refused.Load() }

// PeakInFlight returns the largest number of requests that were present at once,
// waiting for a slot or being worked on.
func (u *Upstream) PeakInFlight() int64 { return u.peak.Load() }

// LastExecutionStart returns when the last execution began; zero: never.
func (u *Upstream) LastExecutionStart() time.Time { return time.Unix(0, u.lastStart.Load()) }

// ExecutionsByKey returns how often each idempotency key was executed.
func (u *Upstream) ExecutionsByKey() map[string]int {
	u.mu.Lock()
	defer u.mu.Unlock()
	out := make(map[string]int, len(u.perKey))
	for k, n := range u.perKey {
		out[k] = n
	}
	return out
}

// ServeHTTP works on a request, or refuses it while leaving.
func (u *Upstream) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	u.arrived.Add(1)
	if id := r.Header.Get(headerRequest); id != "" {
		w.Header().Set(headerRequest, id)
	}
	if u.leaving.Load() {
		u.refuse(w)
		return
	}
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	u.enter()
	defer u.present.Add(-1)
	u.slots <- struct{}{}
	defer func() { <-u.slots }()
	answer := u.execute(r, body)
	if u.leaving.Load() {
		w.Header().Set("Connection", "close")
	}
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set("Content-Length", strconv.Itoa(len(answer)))
	_, _ = w.Write(answer)
}

func (u *Upstream) refuse(w http.ResponseWriter) {
	u.refused.Add(1)
	w.Header().Set("Connection", "close")
	w.Header().Set(headerOutcome, "not-run")
	w.Header().Set(headerReason, "leaving")
	http.Error(w, "leaving", http.StatusServiceUnavailable)
}

func (u *Upstream) enter() {
	n := u.present.Add(1)
	for {
		old := u.peak.Load()
		if n <= old || u.peak.CompareAndSwap(old, n) {
			return
		}
	}
}

// execute counts the request as executed before any work, so that a cut or
// killed answer still counts.
func (u *Upstream) execute(r *http.Request, body []byte) []byte {
	u.lastStart.Store(time.Now().UnixNano())
	n := u.executed.Add(1)
	key := r.Header.Get(headerKey)
	if key != "" {
		u.mu.Lock()
		u.perKey[key]++
		u.mu.Unlock()
	}
	time.Sleep(u.work(r))
	if u.opts.Answer != nil {
		return u.opts.Answer(r, body)
	}
	id := Identity{Upstream: u.opts.Name, Method: r.Method, Path: r.URL.Path, Key: key, Execution: n, Body: string(body)}
	answer, _ := json.Marshal(id)
	return answer
}

func (u *Upstream) work(r *http.Request) time.Duration {
	work := u.opts.Work
	if micros, err := strconv.Atoi(r.Header.Get(headerWork)); err == nil {
		work = time.Duration(micros) * time.Microsecond
	}
	return time.Duration(float64(work) / u.opts.Speed)
}
