// Package upstream is a stand-in for one upstream: an HTTP server of a service
// that takes short requests. It holds counters of the requests it has seen and
// the number of executions of each idempotency key. Tests, benchmarks, the dev
// command and the standin command use it.
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

// Headers of requests and answers between entry hosts and upstreams.
const (
	headerOutcome = "Cyclamentray-Outcome"
	headerReason  = "Cyclamentray-Reason"
	headerRequest = "Cyclamentray-Request"
	headerKey     = "Idempotency-Key"
	headerWork    = "Work-Micros" // work of this request, in microseconds at speed 1
)

// Options configures a stand-in upstream.
type Options struct {
	Name  string
	Slots int           // requests executed at once; 0: 8
	Work  time.Duration // work of a request at speed 1; the header Work-Micros overrides it
	Speed float64       // the time of a request is its work divided by this; 0: 1
	// Answer, if set, builds the body of an answer; nil: the body is an Identity.
	Answer func(r *http.Request, body []byte) []byte
}

// Identity is the default body of an answer: it names the upstream and the
// request that it executed.
type Identity struct {
	Upstream  string `json:"upstream"`
	Method    string `json:"method"`
	Path      string `json:"path"`
	Key       string `json:"key,omitempty"`
	Execution int64  `json:"execution"` // number of requests executed so far, this one included
	Body      string `json:"body,omitempty"`
}

// Upstream is an http.Handler that executes requests in a limited number of
// slots. It is safe for concurrent use.
type Upstream struct {
	opts  Options
	slots chan struct{}

	leaving      atomic.Bool
	executed     atomic.Int64
	refused      atomic.Int64
	arrived      atomic.Int64
	inFlight     atomic.Int64
	peakInFlight atomic.Int64
	lastStart    atomic.Int64 // Unix nanoseconds

	mu              sync.Mutex
	executionsByKey map[string]int
}

// New returns an upstream that accepts requests.
func New(o Options) *Upstream {
	if o.Slots <= 0 {
		o.Slots = defaultSlots
	}
	if o.Speed <= 0 {
		o.Speed = defaultSpeed
	}
	return &Upstream{opts: o, slots: make(chan struct{}, o.Slots), executionsByKey: make(map[string]int)}
}

// Leave makes the upstream refuse new requests with 503 and Connection: close.
// Requests that it has already accepted finish.
func (u *Upstream) Leave() { u.leaving.Store(true) }

// Rejoin makes the upstream accept new requests again after Leave.
func (u *Upstream) Rejoin() { u.leaving.Store(false) }

// Executed returns how many requests were executed.
func (u *Upstream) Executed() int64 { return u.executed.Load() }

// Refused returns how many requests were refused because the upstream is leaving.
func (u *Upstream) Refused() int64 { return u.refused.Load() }

// PeakInFlight returns the largest number of requests that were in flight at
// once, waiting for a slot or executing.
func (u *Upstream) PeakInFlight() int64 { return u.peakInFlight.Load() }

// LastExecutionStart returns when the last execution began; the Unix epoch if
// there was none.
func (u *Upstream) LastExecutionStart() time.Time { return time.Unix(0, u.lastStart.Load()) }

// ExecutionsByKey returns how often each idempotency key was executed.
func (u *Upstream) ExecutionsByKey() map[string]int {
	u.mu.Lock()
	defer u.mu.Unlock()
	out := make(map[string]int, len(u.executionsByKey))
	for k, n := range u.executionsByKey {
		out[k] = n
	}
	return out
}

// ServeHTTP executes a request, or refuses it while the upstream is leaving.
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
	u.countInFlight()
	defer u.inFlight.Add(-1)
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

func (u *Upstream) countInFlight() {
	n := u.inFlight.Add(1)
	for {
		old := u.peakInFlight.Load()
		if n <= old || u.peakInFlight.CompareAndSwap(old, n) {
			return
		}
	}
}

// execute counts the request as executed before it does the work, so that a
// request whose connection is cut before the answer is counted too.
func (u *Upstream) execute(r *http.Request, body []byte) []byte {
	u.lastStart.Store(time.Now().UnixNano())
	n := u.executed.Add(1)
	key := r.Header.Get(headerKey)
	if key != "" {
		u.mu.Lock()
		u.executionsByKey[key]++
		u.mu.Unlock()
	}
	time.Sleep(u.workDuration(r))
	if u.opts.Answer != nil {
		return u.opts.Answer(r, body)
	}
	id := Identity{Upstream: u.opts.Name, Method: r.Method, Path: r.URL.Path, Key: key, Execution: n, Body: string(body)}
	answer, _ := json.Marshal(id)
	return answer
}

func (u *Upstream) workDuration(r *http.Request) time.Duration {
	work := u.opts.Work
	if micros, err := strconv.Atoi(r.Header.Get(headerWork)); err == nil {
		work = time.Duration(micros) * time.Microsecond
	}
	return time.Duration(float64(work) / u.opts.Speed)
}
