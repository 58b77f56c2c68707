package main

import (
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"

	"github.com/cyclamentray/cyclamentray/kvstore"
)

const (
	runnerTick        = 20 * time.Millisecond
	heartbeat         = 1500 * time.Millisecond
	silentHeartbeats  = 3 // after which the store removes a runner's entry
	stopDuration      = 100 * time.Millisecond
	lastingStartup    = 300 * time.Millisecond
	checkpointedWork  = time.Second
	maxListedEnds     = 500
	holdPollInterval  = 5 * time.Millisecond
	runnerReadTimeout = 5 * time.Second
)

// taskSpec is what a job's spec tells a runner about its tasks.
type taskSpec struct {
	WorkMS  int64 `json:"work_ms"`
	Lasting bool  `json:"lasting"`
	Fills   bool  `json:"fills"`
	CPU     int64 `json:"cpu"`
	MemMB   int64 `json:"mem_mb"`
	GPU     int64 `json:"gpu"`
	FailsAt int64 `json:"fails_at_ms,omitempty"` // a run ends failed after this time; 0: never
}

// capacity of a runner, in the units of the pages.
type capacity struct {
	CPU   int64 `json:"cpu"`
	MemMB int64 `json:"mem_mb"`
	GPU   int64 `json:"gpu"`
}

type taskRun struct {
	task       string
	attempt    int
	spec       taskSpec
	began      time.Time
	checkpoint string
	stopAt     time.Time // zero: not being stopped
}

type ended struct {
	n          int64
	task       string
	attempt    int
	how        string
	checkpoint string
}

// runner is a stand-in for one runner, one incarnation at a time.
type runner struct {
	rec     *recorder
	id      string
	address string
	zone    string
	labels  []string
	cap     capacity
	holdMax time.Duration

	mu         sync.Mutex
	server     *http.Server
	listener   net.Listener
	up         bool // its process runs
	cut        bool // no path to the hosts nor to the store
	booted     time.Time
	born       int64
	draining   bool
	drainUntil time.Time
	fence      uint64
	leaseEnd   time.Time
	runs       map[string]*taskRun // by task: a runner has one run of a task at most
	highest    map[string]int
	ends       []ended
	lastEnd    int64
	sequence   int64
	lastBeat   time.Time
	listed     bool
}

func (r *runner) boot(now time.Time) {
	r.up, r.booted, r.born = true, now, now.UnixMilli()
	r.draining, r.fence, r.leaseEnd, r.ends, r.lastEnd, r.sequence = false, 0, time.Time{}, nil, 0, 0
	r.runs, r.highest = make(map[string]*taskRun), make(map[string]int)
}

// listen opens the runner's port, on the address that it has.
func (r *runner) listen() error {
	var l net.Listener
	var err error
	for range 50 {
		if l, err = net.Listen("tcp", r.address); err == nil {
			break
		}
		time.Sleep(runnerTick)
	}
	if err != nil {
		return err
	}
	r.address = l.Addr().String()
	mux := http.NewServeMux()
	mux.HandleFunc("POST /-/run-start", r.start)
	mux.HandleFunc("POST /-/run-stop", r.stop)
	mux.HandleFunc("POST /-/hold", r.hold)
	r.server = &http.Server{ReadHeaderTimeout: runnerReadTimeout, Handler: http.HandlerFunc(func(w http.ResponseWriter, q *http.Request) {
		r.mu.Lock()
		id, cut := r.id, r.cut
		r.mu.Unlock()
		if cut { // what is sent during a cut over an open connection is never answered
			_, _ = io.Copy(io.Discard, q.Body)
			<-q.Context().Done()
			return
		}
		if want := q.Header.Get("X-Expect-Instance"); want != "" && want != id {
			w.WriteHeader(http.StatusMisdirectedRequest)
			return
		}
		mux.ServeHTTP(w, q)
	})}
	r.listener = l
	server := r.server
	go func() {
		if err := server.Serve(l); err != nil && !errors.Is(err, http.ErrServerClosed) && !errors.Is(err, net.ErrClosed) {
			r.rec.note("runner %s: %v", r.id, err)
		}
	}()
	return nil
}

// closePort closes the runner's port and all its connections, so that calls are refused.
func (r *runner) closePort() { _ = r.server.Close() }

type order struct {
	Task       string `json:"task"`
	Attempt    int    `json:"attempt"`
	Spec       string `json:"spec"`
	DeadlineMS int64  `json:"deadline_ms"`
	FenceToken uint64 `json:"fence_token"`
	Checkpoint string `json:"checkpoint"`
	LastSeen   int64  `json:"last_seen"`
	WaitMS     int64  `json:"wait_ms"`
}

func answer(w http.ResponseWriter, status int, body any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(body) // the caller may have gone
}

func (r *runner) clock(now time.Time) int64 { return now.Sub(r.booted).Milliseconds() }

func (r *runner) refuse(w http.ResponseWriter, o order, now time.Time, reason string) {
	r.rec.note("runner %s: refuses an order for %q run %d, fence %d: %s", r.id, o.Task, o.Attempt, o.FenceToken, reason)
	answer(w, http.StatusConflict, map[string]any{"clock_ms": r.clock(now), "reason": reason})
}

// take decodes an order and checks its fence token. The caller holds mu.
func (r *runner) take(w http.ResponseWriter, o order, now time.Time) bool {
	if o.FenceToken < r.fence {
		r.refuse(w, o, now, "fence")
		return false
	}
	r.fence = o.FenceToken
	return true
}

func (r *runner) extend(deadlineMS int64, now time.Time) {
	until := r.booted.Add(time.Duration(deadlineMS) * time.Millisecond)
	if most := now.Add(r.holdMax); until.After(most) {
		until = most
	}
	if until.After(r.leaseEnd) {
		r.leaseEnd = until
	}
}

func (r *runner) used() capacity {
	var u capacity
	for _, t := range r.runs {
		if !t.spec.Fills {
			u.CPU += t.spec.CPU
		}
		u.MemMB += t.spec.MemMB
		u.GPU += t.spec.GPU
	}
	return u
}

// roomFor returns how many tasks of a spec fit beside what runs.
func (r *runner) roomFor(s taskSpec) int64 {
	u := r.used()
	n := int64(1 << 30)
	if s.CPU > 0 && !s.Fills {
		n = min(n, (r.cap.CPU-u.CPU)/s.CPU)
	}
	if s.MemMB > 0 {
		n = min(n, (r.cap.MemMB-u.MemMB)/s.MemMB)
	}
	if s.GPU > 0 {
		n = min(n, (r.cap.GPU-u.GPU)/s.GPU)
	}
	return max(n, 0)
}

// roomBeside returns how many tasks of a spec fit, at most one if they are of the job called
// apart, and none beside another task of it. The caller holds mu.
func (r *runner) roomBeside(s taskSpec, apart string) int64 {
	if apart == "" {
		return r.roomFor(s)
	}
	for task := range r.runs {
		if strings.HasPrefix(task, apart+".") {
			return 0
		}
	}
	return min(r.roomFor(s), 1)
}

// usable reports whether the runner is up, reachable and not draining.
func (r *runner) usable() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.up && !r.cut && !r.draining
}

func decode(w http.ResponseWriter, q *http.Request) (order, bool) {
	var o order
	if err := json.NewDecoder(q.Body).Decode(&o); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return o, false
	}
	return o, true
}

func (r *runner) start(w http.ResponseWriter, q *http.Request) {
	o, ok := decode(w, q)
	if !ok {
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	now := time.Now()
	if !r.take(w, o, now) {
		return
	}
	if o.DeadlineMS <= r.clock(now) {
		r.refuse(w, o, now, "late")
		return
	}
	r.extend(o.DeadlineMS, now)
	if t := r.runs[o.Task]; t != nil && t.attempt == o.Attempt {
		answer(w, http.StatusOK, map[string]any{"clock_ms": r.clock(now)})
		return
	}
	if o.Attempt <= r.highest[o.Task] {
		r.refuse(w, o, now, "old")
		return
	}
	var spec taskSpec
	if err := json.Unmarshal([]byte(o.Spec), &spec); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	if r.roomFor(spec) < 1 || r.runs[o.Task] != nil {
		r.refuse(w, o, now, "room")
		return
	}
	r.runs[o.Task] = &taskRun{task: o.Task, attempt: o.Attempt, spec: spec, began: now, checkpoint: o.Checkpoint}
	r.rec.started(r, o.Task, o.Attempt, o.FenceToken)
	answer(w, http.StatusOK, map[string]any{"clock_ms": r.clock(now)})
}

func (r *runner) stop(w http.ResponseWriter, q *http.Request) {
	o, ok := decode(w, q)
	if !ok {
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	now := time.Now()
	if !r.take(w, o, now) {
		return
	}
	r.highest[o.Task] = max(r.highest[o.Task], o.Attempt)
	if t := r.runs[o.Task]; t != nil && t.attempt == o.Attempt && t.stopAt.IsZero() {
		t.stopAt = now.Add(stopDuration)
		r.rec.note("runner %s: told to stop %s run %d", r.id, o.Task, o.Attempt)
	}
	answer(w, http.StatusOK, map[string]any{"clock_ms": r.clock(now)})
}

func (r *runner) hold(w http.ResponseWriter, q *http.Request) {
	o, ok := decode(w, q)
	if !ok {
		return
	}
	until := time.Now().Add(time.Duration(o.WaitMS) * time.Millisecond)
	for first := true; ; first = false {
		if r.holdOnce(w, o, first, until) {
			return
		}
		select {
		case <-q.Context().Done():
			return
		case <-time.After(holdPollInterval):
		}
	}
}

// holdOnce answers a hold if it is refused, has an end to tell or has waited long enough.
func (r *runner) holdOnce(w http.ResponseWriter, o order, first bool, until time.Time) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := time.Now()
	if r.cut {
		return false
	}
	if !r.take(w, o, now) {
		return true
	}
	if first {
		if o.DeadlineMS > 0 {
			r.extend(o.DeadlineMS, now)
		}
		var left []ended
		for _, e := range r.ends {
			if e.n > o.LastSeen {
				left = append(left, e)
			}
		}
		r.ends = left
	}
	if len(r.ends) == 0 && now.Before(until) {
		return false
	}
	running, finished := [][]any{}, [][]any{}
	for _, t := range r.runs {
		running = append(running, []any{t.task, t.attempt, t.checkpoint, t.percent(now), 0})
	}
	for _, e := range r.ends[:min(len(r.ends), maxListedEnds)] {
		finished = append(finished, []any{e.n, e.task, e.attempt, e.how, e.checkpoint})
	}
	answer(w, http.StatusOK, map[string]any{"clock_ms": r.clock(now), "born": r.born, "running": running, "finished": finished})
	return true
}

func (t *taskRun) percent(now time.Time) int {
	if t.spec.Lasting {
		if now.Sub(t.began) >= lastingStartup {
			return 100
		}
		return 0
	}
	return int(min(100, 100*now.Sub(t.began).Milliseconds()/max(1, t.spec.WorkMS)))
}

func (r *runner) end(t *taskRun, how string) {
	delete(r.runs, t.task)
	r.highest[t.task] = max(r.highest[t.task], t.attempt)
	r.lastEnd++
	r.ends = append(r.ends, ended{r.lastEnd, t.task, t.attempt, how, t.checkpoint})
	r.rec.ended(r, t.task, t.attempt, how)
}

// tick moves the runner forward and writes its entry when that is due.
func (r *runner) tick(now time.Time, s *platformStore) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.up {
		r.tickRuns(now)
	}
	if r.up && !r.cut && now.Sub(r.lastBeat) >= heartbeat {
		r.beat(now, s)
	}
	if r.listed && now.Sub(r.lastBeat) >= silentHeartbeats*heartbeat {
		r.listed = false
		s.remove("servers/" + r.id)
		r.rec.note("store: entry of %s removed, silent for %s", r.id, now.Sub(r.lastBeat).Round(time.Millisecond))
	}
}

func (r *runner) tickRuns(now time.Time) {
	for _, t := range r.runs {
		age := now.Sub(t.began)
		switch {
		case now.After(r.leaseEnd):
			r.end(t, "lapsed")
		case !t.stopAt.IsZero() && !now.Before(t.stopAt):
			r.end(t, "stopped")
		case t.spec.FailsAt > 0 && age >= time.Duration(t.spec.FailsAt)*time.Millisecond:
			r.end(t, "failed")
		case !t.spec.Lasting && age >= time.Duration(t.spec.WorkMS)*time.Millisecond:
			r.end(t, "done")
		}
	}
}

// beat writes the runner's entry.
func (r *runner) beat(now time.Time, s *platformStore) {
	r.sequence++
	entry := map[string]any{
		"service": serviceName, "address": r.address, "zone": r.zone, "version": "1", "slots": 8, "state": "ready",
		"cold_left_ms": 0, "sequence": r.sequence, "born": r.born, "capacity": r.cap, "labels": r.labels,
	}
	if r.draining {
		entry["state"] = "draining"
		entry["drain_remaining_ms"] = max(0, r.drainUntil.Sub(now).Milliseconds())
	}
	value, err := json.Marshal(entry)
	if err != nil {
		r.rec.note("runner %s: %v", r.id, err)
		return
	}
	s.put("servers/"+r.id, value)
	r.lastBeat, r.listed = now, true
}

// drain announces that the runner is to leave.
func (r *runner) drain(now time.Time, s *platformStore, least time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.draining, r.drainUntil = true, now.Add(least)
	r.beat(now, s)
	r.rec.note("runner %s in %s: draining, stays %s at least", r.id, r.zone, least)
}

// leave ends a runner that has drained. What runs on it ends without a report.
func (r *runner) leave(s *platformStore) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.die("left")
	r.listed = false
	s.remove("servers/" + r.id)
}

// crash ends the runner's process. Its entry stays until it has been silent for long.
func (r *runner) crash() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.die("crashed")
}

func (r *runner) die(how string) {
	r.up = false
	r.closePort()
	for _, t := range r.runs {
		r.rec.ended(r, t.task, t.attempt, "gone: its runner "+how)
	}
	r.runs = make(map[string]*taskRun)
	r.rec.note("runner %s in %s: %s", r.id, r.zone, how)
}

// fail ends a run of a task as failed.
func (r *runner) fail(task string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if t := r.runs[task]; t != nil {
		r.end(t, "failed")
	}
}

// relabel gives the runner another kind, which its next entry tells.
func (r *runner) relabel(kind string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.labels = []string{kind, r.labels[1]}
}

// restart starts a crashed runner again, under its id and at its address, as another kind.
// Its entry is written before it takes the first call.
func (r *runner) restart(s *platformStore, kind string) error {
	r.relabel(kind)
	r.mu.Lock()
	defer r.mu.Unlock()
	r.boot(time.Now())
	r.beat(time.Now(), s)
	r.rec.note("runner %s in %s: up again with labels %v, born %d; its entry is written", r.id, r.zone, r.labels, r.born)
	return r.listen()
}

// setCut cuts the runner off or heals the cut. During the cut, open connections are silent and
// new ones are refused.
func (r *runner) setCut(cut bool) error {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.cut = cut
	if cut {
		return r.listener.Close()
	}
	if !r.up {
		return nil
	}
	return r.listen()
}

// platformStore is the platform's store as the runners and the operator write to it.
type platformStore struct{ keys keyWriter }

type keyWriter interface {
	WriteWithoutFaults(txn kvstore.Txn)
}

func (s *platformStore) put(key string, value []byte) {
	s.keys.WriteWithoutFaults(kvstore.Txn{Puts: []kvstore.Put{{Key: key, Value: value}}})
}

func (s *platformStore) remove(key string) {
	s.keys.WriteWithoutFaults(kvstore.Txn{Deletes: []string{key}})
}

func runnerID(n int) string { return fmt.Sprintf("i-%08x", 0x7f3a0000+n*7919) }
