//go:build review

package main

import (
	"encoding/json"
	"fmt"
	"hash/fnv"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"time"
)

// Times of the small deployment that the cases use.
const (
	heartbeat   = 1500 * time.Millisecond
	entryExpiry = 3 * heartbeat // of silence, until a runner's entry is removed
	holdMax     = 10 * time.Second
)

// taskNeeds is what the platform knows about a job's tasks. The job's spec carries it
// as JSON, which the scheduler passes on without reading it.
type taskNeeds struct {
	WorkMS int64 `json:"work_ms"`
	CPU    int64 `json:"cpu"`
	MemMB  int64 `json:"mem_mb"`
	GPU    int64 `json:"gpu"`
	Lasts  bool  `json:"lasts,omitempty"`  // runs until it is stopped or fails
	Uneven bool  `json:"uneven,omitempty"` // takes between half and one and a half times WorkMS
}

// work returns how long a task takes.
func (n taskNeeds) work(task string) time.Duration {
	ms := n.WorkMS
	if n.Uneven {
		h := fnv.New32a()
		_, _ = h.Write([]byte(task))
		ms = n.WorkMS/2 + n.WorkMS*int64(h.Sum32()%1000)/1000
	}
	return time.Duration(ms) * time.Millisecond
}

type runKey struct {
	task    string
	attempt int
}

type taskRun struct {
	key     runKey
	needs   taskNeeds
	started time.Time
}

type taskEnd struct {
	number int64
	key    runKey
	how    string
	id     int64 // of record.nextEnd
}

// observation is a start or an end of a run.
type observation struct {
	at     time.Time
	runner string
	task   string
	start  bool
	how    string // of an end
	end    int64  // number of an end
}

// runner is a stand-in of a runner that guards its capacity.
type runner struct {
	id, address, zone string
	labels            []string
	cpu, mem, gpu     int64
	store             *store
	log               *record
	server            *http.Server

	mu        sync.Mutex
	born      time.Time
	token     uint64
	lease     int64 // end, in ms on the runner's clock
	runs      map[runKey]*taskRun
	highest   map[string]int // by task: highest attempt that was stopped or has ended
	ends      []taskEnd
	lastEnd   int64
	sequence  int64
	lastBeat  time.Time
	busyUntil time.Time // starts are answered with 503 until then
	draining  bool
	gone      bool

	lapsedAfter map[int64]bool // ends that were listed when the lease lapsed

	losesAnswer func(task string) bool // whether the answer to a start is lost; nil: none is
	silentUntil time.Time              // the machine answers nothing until then
}

// startRunner serves a runner and writes its heartbeats.
func startRunner(r *runner) error {
	l, err := net.Listen("tcp", r.address)
	if err != nil {
		return err
	}
	r.born = time.Now()
	r.runs, r.highest, r.lapsedAfter = make(map[runKey]*taskRun), make(map[string]int), make(map[int64]bool)
	mux := http.NewServeMux()
	mux.HandleFunc("POST /-/run-start", r.start)
	mux.HandleFunc("POST /-/run-stop", r.stop)
	mux.HandleFunc("POST /-/hold", r.hold)
	mux.HandleFunc("GET /healthz", func(w http.ResponseWriter, _ *http.Request) { w.Header().Set("X-Instance-Id", r.id) })
	handler := http.HandlerFunc(func(w http.ResponseWriter, q *http.Request) {
		if r.isSilent() {
			noAnswer(q)
		}
		if want := q.Header.Get("X-Expect-Instance"); want != "" && want != r.id {
			w.WriteHeader(http.StatusMisdirectedRequest)
			return
		}
		mux.ServeHTTP(w, q)
	})
	r.server = &http.Server{Handler: handler}
	go func() { _ = r.server.Serve(l) }()
	r.beat()
	go func() {
		for range time.Tick(heartbeat) {
			r.beat()
		}
	}()
	go func() {
		for range time.Tick(10 * time.Millisecond) {
			r.mu.Lock()
			r.advance()
			r.mu.Unlock()
		}
	}()
	return nil
}

// crash ends the runner with all that runs on it. Its address refuses connections, and
// its entry goes after three heartbeat intervals of silence.
func (r *runner) crash() {
	r.mu.Lock()
	r.gone = true
	r.runs = make(map[runKey]*taskRun)
	left := time.Until(r.lastBeat.Add(entryExpiry))
	r.log.printf("runner %s crashes", r.id)
	r.mu.Unlock()
	_ = r.server.Close()
	time.AfterFunc(left, func() {
		r.store.erase("servers/" + r.id)
		r.log.printf("the entry of runner %s is removed", r.id)
	})
}

// restart lets the runner crash without a reset of its connections and start again after
// the given time, under its id. It then holds and knows nothing of before.
func (r *runner) restart(after time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.log.printf("runner %s crashes", r.id)
	r.silentUntil = time.Now().Add(after)
	r.born = r.silentUntil
	r.runs, r.highest, r.ends = make(map[runKey]*taskRun), make(map[string]int), nil
	r.lastEnd, r.token, r.lease, r.sequence = 0, 0, 0, 0
	time.AfterFunc(after, func() {
		r.log.printf("runner %s starts again under its id", r.id)
		r.beat()
	})
}

func (r *runner) isSilent() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return time.Now().Before(r.silentUntil)
}

// noAnswer ends a call whose answer is lost, once the caller has given up.
func noAnswer(q *http.Request) {
	<-q.Context().Done()
	panic(http.ErrAbortHandler)
}

func (r *runner) entry() []byte {
	state := "ready"
	if r.draining {
		state = "draining"
	}
	text, _ := json.Marshal(map[string]any{
		"service": "s", "address": r.address, "zone": r.zone, "version": "v1", "slots": 8, "state": state, "cold_left_ms": 0,
		"capacity": map[string]int64{"cpu": r.cpu, "mem_mb": r.mem, "gpu": r.gpu}, "labels": r.labels,
		"clock_ms": r.clock(), "born": r.born.UnixMilli(), "sequence": r.sequence,
	})
	return text
}

// beat writes the runner's entry, as it does in each heartbeat interval.
func (r *runner) beat() {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.gone || r.store.isDown() || time.Now().Before(r.silentUntil) {
		return
	}
	r.sequence++
	r.lastBeat = time.Now()
	r.store.write(map[string][]byte{"servers/" + r.id: r.entry()})
}

// awaitBeat waits until the runner has written its entry a short while before.
func (r *runner) awaitBeat() {
	for {
		r.mu.Lock()
		age := time.Since(r.lastBeat)
		r.mu.Unlock()
		if age > 20*time.Millisecond && age < 300*time.Millisecond {
			return
		}
		time.Sleep(5 * time.Millisecond)
	}
}

func (r *runner) clock() int64 { return time.Since(r.born).Milliseconds() }

func (r *runner) advance() {
	if r.clock() > r.lease {
		for _, e := range r.ends {
			r.lapsedAfter[e.id] = true
		}
		for _, run := range r.runs {
			r.end(run, "lapsed")
		}
	}
	for _, run := range r.runs {
		if !run.needs.Lasts && time.Since(run.started) >= run.needs.work(run.key.task) {
			r.end(run, "done")
		}
	}
}

func (r *runner) end(run *taskRun, how string) {
	delete(r.runs, run.key)
	r.highest[run.key.task] = max(r.highest[run.key.task], run.key.attempt)
	r.lastEnd++
	end := r.log.nextEnd()
	r.ends = append(r.ends, taskEnd{r.lastEnd, run.key, how, end})
	r.log.observe(observation{time.Now(), r.id, run.key.task, false, how, end})
	r.log.printf("runner %s: run %s attempt %d ended %s", r.id, run.key.task, run.key.attempt, how)
}

type order struct {
	Task       string `json:"task"`
	Attempt    int    `json:"attempt"`
	Spec       string `json:"spec"`
	DeadlineMS int64  `json:"deadline_ms"`
	FenceToken uint64 `json:"fence_token"`
	LastSeen   int64  `json:"last_seen"`
	WaitMS     int64  `json:"wait_ms"`
}

func (r *runner) answer(w http.ResponseWriter, status int, body map[string]any) {
	body["clock_ms"], body["born"] = r.clock(), r.born.UnixMilli()
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(body)
}

func (r *runner) refuse(w http.ResponseWriter, reason string) {
	r.answer(w, http.StatusConflict, map[string]any{"reason": reason})
}

func (r *runner) extend(deadline int64) {
	r.lease = max(r.lease, min(deadline, r.clock()+holdMax.Milliseconds()))
}

func (r *runner) start(w http.ResponseWriter, q *http.Request) {
	var o order
	if json.NewDecoder(q.Body).Decode(&o) != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	r.mu.Lock()
	lost := r.losesAnswer != nil && r.losesAnswer(o.Task)
	if lost {
		defer noAnswer(q)
		w = httptest.NewRecorder()
	}
	defer r.mu.Unlock()
	r.advance()
	key := runKey{o.Task, o.Attempt}
	var needs taskNeeds
	_ = json.Unmarshal([]byte(o.Spec), &needs)
	outcome := "200"
	switch {
	case time.Now().Before(r.busyUntil):
		outcome = "503"
		w.WriteHeader(http.StatusServiceUnavailable)
	case o.FenceToken < r.token:
		outcome = "409 fence"
		r.refuse(w, "fence")
	case o.DeadlineMS <= r.clock():
		outcome = "409 late"
		r.refuse(w, "late")
	default:
		r.token = o.FenceToken
		r.extend(o.DeadlineMS)
		switch {
		case r.runs[key] != nil:
			r.answer(w, http.StatusOK, map[string]any{})
		case o.Attempt <= r.highest[o.Task]:
			outcome = "409 old"
			r.refuse(w, "old")
		case !r.fits(needs):
			outcome = "409 room"
			r.refuse(w, "room")
		default:
			r.runs[key] = &taskRun{key, needs, time.Now()}
			r.log.observe(observation{time.Now(), r.id, o.Task, true, "", 0})
			r.answer(w, http.StatusOK, map[string]any{})
		}
	}
	if lost {
		outcome += ", and the answer is lost"
	}
	r.log.printf("runner %s: start of %s attempt %d token %d: %s", r.id, o.Task, o.Attempt, o.FenceToken, outcome)
}

func (r *runner) fits(n taskNeeds) bool {
	cpu, mem, gpu := n.CPU, n.MemMB, n.GPU
	for _, run := range r.runs {
		cpu, mem, gpu = cpu+run.needs.CPU, mem+run.needs.MemMB, gpu+run.needs.GPU
	}
	return cpu <= r.cpu && mem <= r.mem && gpu <= r.gpu
}

func (r *runner) stop(w http.ResponseWriter, q *http.Request) {
	var o order
	if json.NewDecoder(q.Body).Decode(&o) != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.advance()
	if o.FenceToken < r.token {
		r.refuse(w, "fence")
		return
	}
	r.token = o.FenceToken
	if run := r.runs[runKey{o.Task, o.Attempt}]; run != nil {
		r.end(run, "stopped")
	}
	r.highest[o.Task] = max(r.highest[o.Task], o.Attempt)
	r.log.printf("runner %s: stop of %s attempt %d token %d: 200", r.id, o.Task, o.Attempt, o.FenceToken)
	r.answer(w, http.StatusOK, map[string]any{})
}

func (r *runner) hold(w http.ResponseWriter, q *http.Request) {
	var o order
	if json.NewDecoder(q.Body).Decode(&o) != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	limit := time.Now().Add(time.Duration(min(o.WaitMS, 2000)) * time.Millisecond)
	r.mu.Lock()
	defer r.mu.Unlock()
	r.advance()
	if o.FenceToken < r.token {
		r.refuse(w, "fence")
		return
	}
	r.token = o.FenceToken
	if o.DeadlineMS > 0 {
		r.extend(o.DeadlineMS)
	}
	for len(r.ends) > 0 && r.ends[0].number <= o.LastSeen {
		if !r.lapsedAfter[r.ends[0].id] {
			r.log.noted(r.ends[0].id)
		}
		r.ends = r.ends[1:]
	}
	born := r.born
	for len(r.ends) == 0 && time.Now().Before(limit) && q.Context().Err() == nil {
		r.mu.Unlock()
		time.Sleep(10 * time.Millisecond)
		r.mu.Lock()
		if r.born != born { // this life of the runner has ended
			r.mu.Unlock()
			defer r.mu.Lock()
			noAnswer(q)
		}
		r.advance()
	}
	running, finished := [][]any{}, [][]any{}
	for _, run := range r.runs {
		percent := 100 * time.Since(run.started).Milliseconds() / max(1, run.needs.work(run.key.task).Milliseconds())
		running = append(running, []any{run.key.task, run.key.attempt, "", min(percent, 100), run.needs.CPU})
	}
	for _, e := range r.ends[:min(len(r.ends), 500)] {
		finished = append(finished, []any{e.number, e.key.task, e.key.attempt, e.how, ""})
	}
	r.answer(w, http.StatusOK, map[string]any{"running": running, "finished": finished})
}

// jobOf returns the ID of the job that a task belongs to.
func jobOf(task string) string {
	id, _, _ := strings.Cut(task, ".")
	return id
}

func newRunner(id, address, zone, label, rack string, s *store, log *record) *runner {
	return &runner{id: id, address: address, zone: zone, labels: []string{label, rack}, cpu: 128_000, mem: 524_288, gpu: 8, store: s, log: log}
}

func runnerName(i int) string { return fmt.Sprintf("i-%08x", 0x7f3a9100+i) }

// runsOf returns the number of the job's tasks that run on the runner.
func (r *runner) runsOf(job string) int {
	r.mu.Lock()
	defer r.mu.Unlock()
	n := 0
	for k := range r.runs {
		if jobOf(k.task) == job {
			n++
		}
	}
	return n
}

// fail ends the run of a task as failed, and reports whether it ran here.
func (r *runner) fail(task string) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	for key, run := range r.runs {
		if key.task == task {
			r.end(run, "failed")
			return true
		}
	}
	return false
}

// used returns what the runs on a runner take, and whether it is alive.
func (r *runner) used() (cpu, mem, gpu int64, live bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, run := range r.runs {
		cpu, mem, gpu = cpu+run.needs.CPU, mem+run.needs.MemMB, gpu+run.needs.GPU
	}
	return cpu, mem, gpu, !r.gone && !time.Now().Before(r.silentUntil)
}
