package gang

import (
	"container/heap"
	"fmt"
	"math/rand"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/cyclamentray/cyclamentray/job"
	"github.com/cyclamentray/cyclamentray/standin/worker"
	"github.com/cyclamentray/cyclamentray/workerapi"
)

const (
	worldWorkers = 4
	worldHosts   = 2
	worldJobs    = 3
	termLength   = 10 * time.Second
	maxTransit   = 3 * time.Second
	startBound   = 3 * time.Second
	faultKinds   = 8
	worldSeeds   = 150
	// A partial gang lasts at most a lease, one renewal and what is under way.
	partialBound = LeaseDuration + RenewInterval + 2*maxTransit + 2*time.Second
)

type timed struct {
	at  time.Time
	seq int
	do  func()
}

type timeline []timed

func (l timeline) Len() int { return len(l) }
func (l timeline) Less(i, j int) bool {
	if l[i].at.Equal(l[j].at) {
		return l[i].seq < l[j].seq
	}
	return l[i].at.Before(l[j].at)
}
func (l timeline) Swap(i, j int) { l[i], l[j] = l[j], l[i] }
func (l *timeline) Push(x any)   { *l = append(*l, x.(timed)) }
func (l *timeline) Pop() any {
	old := *l
	x := old[len(old)-1]
	*l = old[:len(old)-1]
	return x
}

// worldHost is an entry host: renewals always, a scheduler while it has a term.
type worldHost struct {
	core    *RenewalPlanner
	roster  map[string]job.Record // ledger as last seen
	dead    bool
	paused  time.Time // frozen until then
	cut     bool      // from the platform
	term    uint64
	until   time.Time // end of the term, on the host's own clock
	runs    map[string]*Run
	outSeen bool
	asked   time.Time // before the platform was last asked for the configuration
}

// world drives runs, renewals and worker stand-ins by random events in virtual
// time. Messages take up to maxTransit, and are lost or answered in vain.
type world struct {
	t       *testing.T
	rng     *rand.Rand
	now     time.Time
	line    timeline
	seq     int
	workers []*worker.Server
	hosts   [worldHosts]*worldHost
	links   [worldHosts][worldWorkers]bool // cut
	ledger  map[string]job.Record
	term    uint64
	leased  time.Time // the platform's end of the present term
	down    bool      // platform
	apart   bool      // the entry hosts do not reach each other
	out     bool
	outAt   time.Time
	calm    bool          // no more faults
	kinds   []int         // faults of this seed
	runTime time.Duration // of every task; 0: by generation
	partial map[workerapi.Gang]time.Time
	starts  int
}

func newWorld(t *testing.T, seed int64) *world {
	w := &world{t: t, rng: rand.New(rand.NewSource(seed)), now: time.Unix(1_000_000, 0),
		ledger: make(map[string]job.Record), partial: make(map[workerapi.Gang]time.Time)}
	for i := range worldWorkers {
		w.workers = append(w.workers, worker.New(worker.Options{Name: fmt.Sprint(i), Accelerators: 2,
			Now: func() time.Time { return w.now },
			RunTime: func(g workerapi.Gang, _ int) time.Duration {
				if w.runTime > 0 {
					return w.runTime
				}
				return time.Duration(20+int(g.Generation)*7) * time.Second
			},
			Fail: func(workerapi.Gang, int) bool { return !w.calm && w.rng.Intn(40) == 0 },
		}))
	}
	for i := range w.hosts {
		w.hosts[i] = &worldHost{core: NewRenewalPlanner(), runs: make(map[string]*Run)}
		w.every(time.Second, func() { w.cycle(i) })
		w.every(RenewInterval, func() { w.renew(i) })
		w.every(500*time.Millisecond, func() { w.refresh(i) })
	}
	// Each seed has faults of some kinds only, so that they last and meet.
	for kind := range faultKinds {
		if w.rng.Intn(2) == 0 {
			w.kinds = append(w.kinds, kind)
		}
	}
	w.kinds = append(w.kinds, w.rng.Intn(faultKinds))
	for i := range worldJobs {
		rec := job.Record{Spec: job.Spec{ID: job.ID{Organisation: "o", Service: "s", Name: fmt.Sprint(i)},
			Shape: job.Shape{Tasks: 1 + i, AcceleratorsPerTask: 1}, Checkpoint: i%2 == 0}}
		rec.Enter(job.Queued, "", w.now)
		w.ledger[rec.Spec.ID.String()] = rec
	}
	return w
}

func (w *world) after(d time.Duration, do func()) {
	w.seq++
	heap.Push(&w.line, timed{w.now.Add(d), w.seq, do})
}

func (w *world) every(d time.Duration, do func()) {
	w.after(time.Duration(w.rng.Int63n(int64(d))), func() { do(); w.again(d, do) })
}

func (w *world) again(d time.Duration, do func()) {
	w.after(d, func() { do(); w.again(d, do) })
}

func (w *world) transit() time.Duration {
	if w.calm || w.rng.Intn(10) > 0 {
		return time.Duration(w.rng.Intn(5)) * time.Millisecond
	}
	return time.Duration(w.rng.Int63n(int64(maxTransit)))
}

// freeze stops a host at times between its last check and its message.
func (w *world) freeze(h *worldHost) time.Duration {
	if w.calm || w.rng.Intn(20) > 0 {
		return 0
	}
	d := time.Duration(w.rng.Intn(20_000)) * time.Millisecond
	h.paused = w.now.Add(d)
	return d
}

func (w *world) lost() bool { return !w.calm && w.rng.Intn(30) == 0 }

// onHost runs do on a host, once it is awake, unless it died meanwhile.
func (w *world) onHost(i int, h *worldHost, do func()) {
	switch {
	case w.hosts[i] != h || h.dead:
	case w.now.Before(h.paused):
		w.after(h.paused.Sub(w.now), func() { w.onHost(i, h, do) })
	default:
		do()
	}
}

// message carries a call to a worker and its answer back; either may be lost,
// and then the caller learns so after its timeout.
func (w *world) message(i, k int, call func(*worker.Server) Event, failed Event, back func(Event)) {
	h := w.hosts[i]
	answered := false
	w.after(workerCallTimeout, func() {
		w.onHost(i, h, func() {
			if !answered {
				answered = true
				back(failed)
			}
		})
	})
	if w.links[i][k] || w.lost() {
		return
	}
	w.after(w.freeze(h)+w.transit(), func() {
		e := call(w.workers[k])
		w.check()
		if w.lost() {
			return
		}
		w.after(w.transit(), func() {
			w.onHost(i, h, func() {
				if !answered {
					answered = true
					back(e)
				}
			})
		})
	})
}

func (w *world) held(h *worldHost) bool { return h.term != 0 && w.now.Before(h.until) }

func (w *world) permitted(h *worldHost, term uint64) bool {
	return w.held(h) && h.term == term && !h.outSeen && w.now.Sub(h.asked) <= MaxConfigAge
}

func (w *world) act(i int, g workerapi.Gang, actions []Action) {
	h := w.hosts[i]
	term := h.term
	post := func(e Event) {
		run := h.runs[g.Job]
		if run == nil || run.Gang != g || h.term != term {
			return
		}
		w.act(i, g, run.Step(w.now, e))
		if run.Phase == Ended {
			delete(h.runs, g.Job)
		}
	}
	for _, a := range actions {
		w.after(w.transit(), func() {
			w.onHost(i, h, func() { w.perform(i, g, term, a, post) })
		})
	}
}

func number(name string) int { return int(name[0] - '0') }

func (w *world) perform(i int, g workerapi.Gang, term uint64, a Action, post func(Event)) {
	h := w.hosts[i]
	req := workerapi.GangRequest{Term: term, Gang: g}
	switch a := a.(type) {
	case RecordState:
		post(w.write(h, g, term, a))
	case Reserve:
		if !w.permitted(h, term) {
			post(Reserved{Worker: a.Worker, Code: workerapi.Refused})
			return
		}
		w.message(i, number(a.Worker), func(s *worker.Server) Event {
			r := s.Reserve(workerapi.ReserveRequest{Term: term, Gang: g, Tasks: a.Tasks, AcceleratorsPerTask: 1, TTL: ReservationTTL})
			return Reserved{Worker: a.Worker, Code: r.Code}
		}, Reserved{Worker: a.Worker}, post)
	case Start:
		if !w.permitted(h, term) {
			post(Started{Worker: a.Worker})
			return
		}
		size := w.ledger[g.Job].Spec.Shape.Tasks
		w.message(i, number(a.Worker), func(s *worker.Server) Event {
			r := s.Start(workerapi.StartRequest{Term: term, Gang: g, Tasks: a.Tasks, Size: size, Lease: LeaseDuration})
			w.checkStart(r.Code)
			return Started{Worker: a.Worker, Sent: true, Code: r.Code}
		}, Started{Worker: a.Worker, Sent: true}, post)
	case ListTasks:
		w.message(i, number(a.Worker), func(s *worker.Server) Event {
			return TasksListed{Worker: a.Worker, Answered: true, Tasks: s.Tasks().Tasks}
		}, TasksListed{Worker: a.Worker}, post)
	case Checkpoint:
		w.message(i, number(a.Worker), func(s *worker.Server) Event {
			return Checkpointed{Worker: a.Worker, OK: s.Checkpoint(req).Code == workerapi.OK}
		}, Checkpointed{Worker: a.Worker}, post)
	case Stop:
		w.message(i, number(a.Worker), func(s *worker.Server) Event {
			return Stopped{Worker: a.Worker, OK: s.Stop(req).Code != workerapi.StaleTerm}
		}, Stopped{Worker: a.Worker}, post)
	case Fence:
		ok := true
		for _, other := range w.hosts {
			if other != h && (w.apart || other.dead || w.now.Before(other.paused)) {
				ok = false // listed, and does not answer
				continue
			}
			other.core.StopRenewing(w.now, g)
		}
		post(Fenced{OK: ok})
	}
}

// write brings the ledger to a run's state. The answer may be lost after the
// write took effect.
func (w *world) write(h *worldHost, g workerapi.Gang, term uint64, a RecordState) Recorded {
	if w.down || h.cut {
		return Recorded{State: a.State}
	}
	run := h.runs[g.Job]
	if run == nil {
		return Recorded{State: a.State}
	}
	rec := job.Record{Generation: g.Generation, Workers: run.Workers, Term: term}
	next, err := transition(w.ledger[g.Job], true, rec, a, 100, w.now)
	if err != nil {
		return Recorded{State: a.State, Superseded: true}
	}
	w.ledger[g.Job] = next
	return Recorded{State: a.State, OK: !w.lost()}
}

// refresh reads the configuration and the ledger, and takes or keeps the term.
func (w *world) refresh(i int) {
	h := w.hosts[i]
	w.onHost(i, h, func() {
		if w.down || h.cut {
			return
		}
		h.asked, h.outSeen = w.now, w.out
		h.roster = make(map[string]job.Record)
		for k, v := range w.ledger {
			h.roster[k] = v
		}
		switch {
		case w.held(h) && h.term == w.term:
			h.until, w.leased = w.now.Add(termLength), w.now.Add(termLength)
		case !w.now.Before(w.leased):
			w.term++
			h.term, h.until, w.leased = w.term, w.now.Add(termLength), w.now.Add(termLength)
			h.runs = make(map[string]*Run)
		}
	})
}

// cycle is the scheduler's round, with placement at random.
func (w *world) cycle(i int) {
	h := w.hosts[i]
	w.onHost(i, h, func() {
		if !w.held(h) {
			h.runs = make(map[string]*Run)
			return
		}
		for _, key := range sortedKeys(h.roster) {
			rec := h.roster[key]
			g := workerapi.Gang{Job: key, Generation: rec.Generation}
			run := h.runs[key]
			switch {
			case run != nil:
				w.act(i, run.Gang, run.Step(w.now, Tick{}))
				if run.Phase == Ended {
					delete(h.runs, key)
				} else if h.outSeen || (!w.calm && w.rng.Intn(60) == 0) {
					w.act(i, run.Gang, run.Step(w.now, StopRequest{NextState: job.Queued, Grace: checkpointGrace(rec)}))
				}
			case isLive(rec.State):
				run, actions := adoptRecorded(g, rec, w.now)
				h.runs[key] = run
				w.act(i, g, actions)
			case rec.State == job.Queued && w.permitted(h, h.term):
				g.Generation++
				var workers []string
				for _, k := range w.rng.Perm(worldWorkers)[:rec.Spec.Shape.Tasks] {
					workers = append(workers, fmt.Sprint(k))
				}
				run, actions := NewRun(g, workers, w.now)
				h.runs[key] = run
				w.act(i, g, actions)
			}
		}
	})
}

// renew is one round of a host's renewals. Both hosts renew every gang: that
// only makes it harder for a gang to end.
func (w *world) renew(i int) {
	h := w.hosts[i]
	w.onHost(i, h, func() {
		var roster []AssignedGang
		for _, key := range sortedKeys(h.roster) {
			rec := h.roster[key]
			if rec.State == job.Placed || rec.State == job.Running {
				g := workerapi.Gang{Job: key, Generation: rec.Generation}
				roster = append(roster, AssignedGang{Gang: g, Workers: distinct(rec.Workers)})
			}
		}
		h.core.SetAssigned(w.now, roster)
		batches, lost := h.core.PlanRound(w.now)
		w.observe(i, lost)
		w.send(i, batches)
		w.send(i, h.core.PlanSecondPass())
	})
}

func (w *world) send(i int, batches []RenewalBatch) {
	for _, b := range batches {
		k := number(b.Worker)
		if w.links[i][k] || w.lost() {
			continue
		}
		req := workerapi.RenewRequest{Gangs: b.Gangs, Lease: LeaseDuration}
		if b.Probe {
			req.Lease = 0
		}
		reply := w.workers[k].Renew(req)
		if !w.lost() {
			w.observe(i, w.hosts[i].core.HandleReply(w.now, b, reply))
		}
	}
}

// observe tells the hosts what a renewal of one of them taught.
func (w *world) observe(by int, learned []Observation) {
	for i, h := range w.hosts {
		if w.apart && i != by {
			continue
		}
		for _, o := range learned {
			run := h.runs[o.Gang.Job]
			if run == nil || run.Gang != o.Gang || h.dead || !w.held(h) {
				continue
			}
			e := Event(TasksListed{Worker: o.Worker, Answered: true, Tasks: o.Tasks})
			if o.Unreachable {
				e = WorkerLost{Worker: o.Worker}
			}
			w.act(i, o.Gang, run.Step(w.now, e))
		}
	}
}

// fault makes one thing fail or recover.
func (w *world) fault() {
	i, k := w.rng.Intn(worldHosts), w.rng.Intn(worldWorkers)
	switch w.kinds[w.rng.Intn(len(w.kinds))] {
	case 0:
		w.hosts[i].paused = w.now.Add(time.Duration(w.rng.Intn(40)) * time.Second)
	case 1: // the host dies and comes back with nothing
		w.hosts[i] = &worldHost{core: NewRenewalPlanner(), runs: make(map[string]*Run)}
	case 2:
		w.links[i][k] = !w.links[i][k]
	case 3:
		w.workers[k].Restart()
	case 4:
		w.down = !w.down
	case 5:
		w.hosts[i].cut = !w.hosts[i].cut
	case 6:
		w.apart = !w.apart
	case 7:
		w.out = !w.out
		w.outAt = w.now
	}
}

func (w *world) heal() {
	w.calm, w.down, w.out, w.apart = true, false, false, false
	w.links = [worldHosts][worldWorkers]bool{}
	for _, h := range w.hosts {
		h.cut, h.paused = false, time.Time{}
	}
}

func (w *world) checkStart(code workerapi.Code) {
	if code != workerapi.OK {
		return
	}
	w.starts++
	if w.out && w.now.Sub(w.outAt) > startBound {
		w.t.Fatalf("a task started %v after the failure domain was taken out", w.now.Sub(w.outAt))
	}
}

// check holds after every event: one generation of a job at a time, and no
// gang in part for longer than the bound.
func (w *world) check() {
	count := make(map[workerapi.Gang]int)
	whole := make(map[workerapi.Gang]int)
	generation := make(map[string]uint64)
	for _, s := range w.workers {
		for _, t := range s.Tasks().Tasks {
			if t.State == workerapi.TaskFinished {
				whole[t.Gang]++
			}
			if t.State != workerapi.TaskRunning {
				continue
			}
			if g := generation[t.Gang.Job]; g != 0 && g != t.Gang.Generation {
				w.t.Fatalf("two copies of job %s run: generations %d and %d", t.Gang.Job, g, t.Gang.Generation)
			}
			generation[t.Gang.Job] = t.Gang.Generation
			count[t.Gang]++
			whole[t.Gang]++
		}
	}
	for g, n := range whole {
		if count[g] == 0 || n == w.ledger[g.Job].Spec.Shape.Tasks {
			delete(w.partial, g)
		} else if since, known := w.partial[g]; !known {
			w.partial[g] = w.now
		} else if w.now.Sub(since) > partialBound {
			w.t.Fatalf("gang %v ran in part for %v", g, w.now.Sub(since))
		}
	}
	for g := range w.partial {
		if whole[g] == 0 {
			delete(w.partial, g)
		}
	}
}

func (w *world) run(until time.Duration) {
	end := w.now.Add(until)
	for w.line.Len() > 0 && !w.line[0].at.After(end) {
		next := heap.Pop(&w.line).(timed)
		w.now = next.at
		next.do()
		w.check()
	}
	w.now = end
}

// TestGangsUnderRandomFaults drives hosts, workers and the platform through
// random faults, then heals them and expects every job to finish.
func TestGangsUnderRandomFaults(t *testing.T) {
	t.Parallel()
	starts := 0
	for seed := range int64(worldSeeds) {
		w := disturbedWorld(t, seed)
		for key, rec := range w.ledger {
			must.EqOp(t, job.Finished, rec.State, must.Sprintf("seed %d: job %s is left as %+v", seed, key, rec))
		}
		starts += w.starts
	}
	t.Logf("%d task starts", starts)
	must.Greater(t, 1000, starts)
}

func disturbedWorld(t *testing.T, seed int64) *world {
	w := newWorld(t, seed)
	for range 80 {
		w.run(time.Duration(w.rng.Intn(6000)) * time.Millisecond)
		w.fault()
	}
	w.heal()
	w.run(6 * time.Minute)
	return w
}

// The state machine reads no clock and no order of maps: the same messages at
// the same times give the same records.
func TestSameMessagesGiveTheSameRecords(t *testing.T) {
	t.Parallel()
	for seed := range int64(5) {
		must.Eq(t, disturbedWorld(t, seed).ledger, disturbedWorld(t, seed).ledger)
	}
}
