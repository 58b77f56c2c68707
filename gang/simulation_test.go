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
	simWorkers       = 4
	simHosts         = 2
	simJobs          = 3
	termDuration     = 10 * time.Second
	maxMessageDelay  = 3 * time.Second
	maxStartAfterOut = 3 * time.Second
	faultKinds       = 8
	simSeeds         = 150
	// A partial gang lasts at most a lease, one renewal and what is under way.
	maxPartialDuration = LeaseDuration + RenewInterval + 2*maxMessageDelay + 2*time.Second
)

type scheduledCall struct {
	at   time.Time
	seq  int
	call func()
}

type callQueue []scheduledCall

func (l callQueue) Len() int { return len(l) }
func (l callQueue) Less(i, j int) bool {
	if l[i].at.Equal(l[j].at) {
		return l[i].seq < l[j].seq
	}
	return l[i].at.Before(l[j].at)
}
func (l callQueue) Swap(i, j int) { l[i], l[j] = l[j], l[i] }
func (l *callQueue) Push(x any)   { *l = append(*l, x.(scheduledCall)) }
func (l *callQueue) Pop() any {
	old := *l
	x := old[len(old)-1]
	*l = old[:len(old)-1]
	return x
}

// simHost is an entry host: renewals always, a scheduler while it has a term.
type simHost struct {
	planner       *RenewalPlanner
	ledgerSeen    map[string]job.Record // ledger as last seen
	dead          bool
	pausedUntil   time.Time // frozen until then
	platformCut   bool      // from the platform
	term          uint64
	termEnd       time.Time // end of the term, on the host's own clock
	runs          map[string]*Run
	outSeen       bool
	configAskedAt time.Time // before the platform was last asked for the configuration
}

// simulation drives runs, renewals and worker stand-ins by random events in virtual
// time. Messages take up to maxTransit, and are lost or answered in vain.
type simulation struct {
	t                *testing.T
	rng              *rand.Rand
	now              time.Time
	queue            callQueue
	seq              int
	workers          []*worker.Server
	hosts            [simHosts]*simHost
	linksCut         [simHosts][simWorkers]bool // cut
	ledger           map[string]job.Record
	term             uint64
	platformTermEnd  time.Time // the platform's end of the present term
	platformDown     bool      // platform
	hostsPartitioned bool      // the entry hosts do not reach each other
	out              bool
	outAt            time.Time
	faultFree        bool          // no more faults
	enabledFaults    []int         // faults of this seed
	runTime          time.Duration // of every task; 0: by generation
	partialSince     map[workerapi.Gang]time.Time
	starts           int
}

func newSimulation(t *testing.T, seed int64) *simulation {
	w := &simulation{t: t, rng: rand.New(rand.NewSource(seed)), now: time.Unix(1_000_000, 0),
		ledger: make(map[string]job.Record), partialSince: make(map[workerapi.Gang]time.Time)}
	for i := range simWorkers {
		w.workers = append(w.workers, worker.New(worker.Options{Name: fmt.Sprint(i), Accelerators: 2,
			Now: func() time.Time { return w.now },
			RunTime: func(g workerapi.Gang, _ int) time.Duration {
				if w.runTime > 0 {
					return w.runTime
				}
				return time.Duration(20+int(g.Generation)*7) * time.Second
			},
			Fail: func(workerapi.Gang, int) bool { return !w.faultFree && w.rng.Intn(40) == 0 },
		}))
	}
	for i := range w.hosts {
		w.hosts[i] = &simHost{planner: NewRenewalPlanner(), runs: make(map[string]*Run)}
		w.every(time.Second, func() { w.runCycle(i) })
		w.every(RenewInterval, func() { w.renewRound(i) })
		w.every(500*time.Millisecond, func() { w.readPlatform(i) })
	}
	// Each seed has faults of some kinds only, so that they last and meet.
	for kind := range faultKinds {
		if w.rng.Intn(2) == 0 {
			w.enabledFaults = append(w.enabledFaults, kind)
		}
	}
	w.enabledFaults = append(w.enabledFaults, w.rng.Intn(faultKinds))
	for i := range simJobs {
		rec := job.Record{Spec: job.Spec{ID: job.ID{Organisation: "o", Service: "s", Name: fmt.Sprint(i)},
			Shape: job.Shape{Tasks: 1 + i, AcceleratorsPerTask: 1}, Checkpoint: i%2 == 0}}
		rec.Enter(job.Queued, "", w.now)
		w.ledger[rec.Spec.ID.String()] = rec
	}
	return w
}

func (w *simulation) after(d time.Duration, do func()) {
	w.seq++
	heap.Push(&w.queue, scheduledCall{w.now.Add(d), w.seq, do})
}

func (w *simulation) every(d time.Duration, do func()) {
	w.after(time.Duration(w.rng.Int63n(int64(d))), func() { do(); w.repeat(d, do) })
}

func (w *simulation) repeat(d time.Duration, do func()) {
	w.after(d, func() { do(); w.repeat(d, do) })
}

func (w *simulation) messageDelay() time.Duration {
	if w.faultFree || w.rng.Intn(10) > 0 {
		return time.Duration(w.rng.Intn(5)) * time.Millisecond
	}
	return time.Duration(w.rng.Int63n(int64(maxMessageDelay)))
}

// pauseHost stops a host at times between its last check and its message.
func (w *simulation) pauseHost(h *simHost) time.Duration {
	if w.faultFree || w.rng.Intn(20) > 0 {
		return 0
	}
	d := time.Duration(w.rng.Intn(20_000)) * time.Millisecond
	h.pausedUntil = w.now.Add(d)
	return d
}

func (w *simulation) messageLost() bool { return !w.faultFree && w.rng.Intn(30) == 0 }

// onHost runs do on a host, once it is awake, unless it died meanwhile.
func (w *simulation) onHost(i int, h *simHost, do func()) {
	switch {
	case w.hosts[i] != h || h.dead:
	case w.now.Before(h.pausedUntil):
		w.after(h.pausedUntil.Sub(w.now), func() { w.onHost(i, h, do) })
	default:
		do()
	}
}

// sendMessage carries a call to a worker and its answer back; either may be lost,
// and then the caller learns so after its timeout.
func (w *simulation) sendMessage(i, k int, call func(*worker.Server) Event, failed Event, back func(Event)) {
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
	if w.linksCut[i][k] || w.messageLost() {
		return
	}
	w.after(w.pauseHost(h)+w.messageDelay(), func() {
		e := call(w.workers[k])
		w.checkInvariants()
		if w.messageLost() {
			return
		}
		w.after(w.messageDelay(), func() {
			w.onHost(i, h, func() {
				if !answered {
					answered = true
					back(e)
				}
			})
		})
	})
}

func (w *simulation) holdsTerm(h *simHost) bool { return h.term != 0 && w.now.Before(h.termEnd) }

func (w *simulation) startPermitted(h *simHost, term uint64) bool {
	return w.holdsTerm(h) && h.term == term && !h.outSeen && w.now.Sub(h.configAskedAt) <= MaxConfigAge
}

func (w *simulation) executeActions(i int, g workerapi.Gang, actions []Action) {
	h := w.hosts[i]
	term := h.term
	post := func(e Event) {
		run := h.runs[g.Job]
		if run == nil || run.Gang != g || h.term != term {
			return
		}
		w.executeActions(i, g, run.Step(w.now, e))
		if run.Phase == Ended {
			delete(h.runs, g.Job)
		}
	}
	for _, a := range actions {
		w.after(w.messageDelay(), func() {
			w.onHost(i, h, func() { w.executeAction(i, g, term, a, post) })
		})
	}
}

func workerIndex(name string) int { return int(name[0] - '0') }

func (w *simulation) executeAction(i int, g workerapi.Gang, term uint64, a Action, post func(Event)) {
	h := w.hosts[i]
	req := workerapi.GangRequest{Term: term, Gang: g}
	switch a := a.(type) {
	case RecordState:
		post(w.writeState(h, g, term, a))
	case Reserve:
		if !w.startPermitted(h, term) {
			post(Reserved{Worker: a.Worker, Code: workerapi.Refused})
			return
		}
		w.sendMessage(i, workerIndex(a.Worker), func(s *worker.Server) Event {
			r := s.Reserve(workerapi.ReserveRequest{Term: term, Gang: g, Tasks: a.Tasks, AcceleratorsPerTask: 1, TTL: ReservationTTL})
			return Reserved{Worker: a.Worker, Code: r.Code}
		}, Reserved{Worker: a.Worker}, post)
	case Start:
		if !w.startPermitted(h, term) {
			post(Started{Worker: a.Worker})
			return
		}
		size := w.ledger[g.Job].Spec.Shape.Tasks
		w.sendMessage(i, workerIndex(a.Worker), func(s *worker.Server) Event {
			r := s.Start(workerapi.StartRequest{Term: term, Gang: g, Tasks: a.Tasks, Size: size, Lease: LeaseDuration})
			w.checkStart(r.Code)
			return Started{Worker: a.Worker, Sent: true, Code: r.Code}
		}, Started{Worker: a.Worker, Sent: true}, post)
	case ListTasks:
		w.sendMessage(i, workerIndex(a.Worker), func(s *worker.Server) Event {
			return TasksListed{Worker: a.Worker, Answered: true, Tasks: s.Tasks().Tasks}
		}, TasksListed{Worker: a.Worker}, post)
	case Checkpoint:
		w.sendMessage(i, workerIndex(a.Worker), func(s *worker.Server) Event {
			return Checkpointed{Worker: a.Worker, OK: s.Checkpoint(req).Code == workerapi.OK}
		}, Checkpointed{Worker: a.Worker}, post)
	case Stop:
		w.sendMessage(i, workerIndex(a.Worker), func(s *worker.Server) Event {
			return Stopped{Worker: a.Worker, OK: s.Stop(req).Code != workerapi.StaleTerm}
		}, Stopped{Worker: a.Worker}, post)
	case Fence:
		ok := true
		for _, other := range w.hosts {
			if other != h && (w.hostsPartitioned || other.dead || w.now.Before(other.pausedUntil)) {
				ok = false // listed, and does not answer
				continue
			}
			other.planner.StopRenewing(w.now, g)
		}
		post(Fenced{OK: ok})
	}
}

// writeState brings the ledger to a run's state. The answer may be lost after the
// writeState took effect.
func (w *simulation) writeState(h *simHost, g workerapi.Gang, term uint64, a RecordState) Recorded {
	if w.platformDown || h.platformCut {
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
	return Recorded{State: a.State, OK: !w.messageLost()}
}

// readPlatform reads the configuration and the ledger, and takes or keeps the term.
func (w *simulation) readPlatform(i int) {
	h := w.hosts[i]
	w.onHost(i, h, func() {
		if w.platformDown || h.platformCut {
			return
		}
		h.configAskedAt, h.outSeen = w.now, w.out
		h.ledgerSeen = make(map[string]job.Record)
		for k, v := range w.ledger {
			h.ledgerSeen[k] = v
		}
		switch {
		case w.holdsTerm(h) && h.term == w.term:
			h.termEnd, w.platformTermEnd = w.now.Add(termDuration), w.now.Add(termDuration)
		case !w.now.Before(w.platformTermEnd):
			w.term++
			h.term, h.termEnd, w.platformTermEnd = w.term, w.now.Add(termDuration), w.now.Add(termDuration)
			h.runs = make(map[string]*Run)
		}
	})
}

// runCycle is the scheduler's round, with placement at random.
func (w *simulation) runCycle(i int) {
	h := w.hosts[i]
	w.onHost(i, h, func() {
		if !w.holdsTerm(h) {
			h.runs = make(map[string]*Run)
			return
		}
		for _, key := range sortedKeys(h.ledgerSeen) {
			rec := h.ledgerSeen[key]
			g := workerapi.Gang{Job: key, Generation: rec.Generation}
			run := h.runs[key]
			switch {
			case run != nil:
				w.executeActions(i, run.Gang, run.Step(w.now, Tick{}))
				if run.Phase == Ended {
					delete(h.runs, key)
				} else if h.outSeen || (!w.faultFree && w.rng.Intn(60) == 0) {
					w.executeActions(i, run.Gang, run.Step(w.now, StopRequest{NextState: job.Queued, Grace: checkpointGrace(rec)}))
				}
			case isLive(rec.State):
				run, actions := adoptRecorded(g, rec, w.now)
				h.runs[key] = run
				w.executeActions(i, g, actions)
			case rec.State == job.Queued && w.startPermitted(h, h.term):
				g.Generation++
				var workers []string
				for _, k := range w.rng.Perm(simWorkers)[:rec.Spec.Shape.Tasks] {
					workers = append(workers, fmt.Sprint(k))
				}
				run, actions := NewRun(g, workers, w.now)
				h.runs[key] = run
				w.executeActions(i, g, actions)
			}
		}
	})
}

// renewRound is one round of a host's renewals. Both hosts renewRound every gang: that
// only makes it harder for a gang to end.
func (w *simulation) renewRound(i int) {
	h := w.hosts[i]
	w.onHost(i, h, func() {
		var roster []AssignedGang
		for _, key := range sortedKeys(h.ledgerSeen) {
			rec := h.ledgerSeen[key]
			if rec.State == job.Placed || rec.State == job.Running {
				g := workerapi.Gang{Job: key, Generation: rec.Generation}
				roster = append(roster, AssignedGang{Gang: g, Workers: distinct(rec.Workers)})
			}
		}
		h.planner.SetAssigned(w.now, roster)
		batches, lost := h.planner.PlanRound(w.now)
		w.applyObservations(i, lost)
		w.sendBatches(i, batches)
		w.sendBatches(i, h.planner.PlanSecondPass())
	})
}

func (w *simulation) sendBatches(i int, batches []RenewalBatch) {
	for _, b := range batches {
		k := workerIndex(b.Worker)
		if w.linksCut[i][k] || w.messageLost() {
			continue
		}
		req := workerapi.RenewRequest{Gangs: b.Gangs, Lease: LeaseDuration}
		if b.Probe {
			req.Lease = 0
		}
		reply := w.workers[k].Renew(req)
		if !w.messageLost() {
			w.applyObservations(i, w.hosts[i].planner.HandleReply(w.now, b, reply))
		}
	}
}

// applyObservations tells the hosts what a renewal of one of them taught.
func (w *simulation) applyObservations(by int, learned []Observation) {
	for i, h := range w.hosts {
		if w.hostsPartitioned && i != by {
			continue
		}
		for _, o := range learned {
			run := h.runs[o.Gang.Job]
			if run == nil || run.Gang != o.Gang || h.dead || !w.holdsTerm(h) {
				continue
			}
			e := Event(TasksListed{Worker: o.Worker, Answered: true, Tasks: o.Tasks})
			if o.Unreachable {
				e = WorkerLost{Worker: o.Worker}
			}
			w.executeActions(i, o.Gang, run.Step(w.now, e))
		}
	}
}

// toggleFault makes one thing fail or recover.
func (w *simulation) toggleFault() {
	i, k := w.rng.Intn(simHosts), w.rng.Intn(simWorkers)
	switch w.enabledFaults[w.rng.Intn(len(w.enabledFaults))] {
	case 0:
		w.hosts[i].pausedUntil = w.now.Add(time.Duration(w.rng.Intn(40)) * time.Second)
	case 1: // the host dies and comes back with nothing
		w.hosts[i] = &simHost{planner: NewRenewalPlanner(), runs: make(map[string]*Run)}
	case 2:
		w.linksCut[i][k] = !w.linksCut[i][k]
	case 3:
		w.workers[k].Restart()
	case 4:
		w.platformDown = !w.platformDown
	case 5:
		w.hosts[i].platformCut = !w.hosts[i].platformCut
	case 6:
		w.hostsPartitioned = !w.hostsPartitioned
	case 7:
		w.out = !w.out
		w.outAt = w.now
	}
}

func (w *simulation) clearFaults() {
	w.faultFree, w.platformDown, w.out, w.hostsPartitioned = true, false, false, false
	w.linksCut = [simHosts][simWorkers]bool{}
	for _, h := range w.hosts {
		h.platformCut, h.pausedUntil = false, time.Time{}
	}
}

func (w *simulation) checkStart(code workerapi.Code) {
	if code != workerapi.OK {
		return
	}
	w.starts++
	if w.out && w.now.Sub(w.outAt) > maxStartAfterOut {
		w.t.Fatalf("a task started %v after the failure domain was taken out", w.now.Sub(w.outAt))
	}
}

// checkInvariants holds after every event: one generation of a job at a time, and no
// gang in part for longer than the bound.
func (w *simulation) checkInvariants() {
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
			delete(w.partialSince, g)
		} else if since, known := w.partialSince[g]; !known {
			w.partialSince[g] = w.now
		} else if w.now.Sub(since) > maxPartialDuration {
			w.t.Fatalf("gang %v ran in part for %v", g, w.now.Sub(since))
		}
	}
	for g := range w.partialSince {
		if whole[g] == 0 {
			delete(w.partialSince, g)
		}
	}
}

func (w *simulation) advance(until time.Duration) {
	end := w.now.Add(until)
	for w.queue.Len() > 0 && !w.queue[0].at.After(end) {
		next := heap.Pop(&w.queue).(scheduledCall)
		w.now = next.at
		next.call()
		w.checkInvariants()
	}
	w.now = end
}

// TestJobsFinishAfterRandomFaults drives hosts, workers and the platform through
// random faults, then heals them and expects every job to finish.
func TestJobsFinishAfterRandomFaults(t *testing.T) {
	t.Parallel()
	starts := 0
	for seed := range int64(simSeeds) {
		w := runWithRandomFaults(t, seed)
		for key, rec := range w.ledger {
			must.EqOp(t, job.Finished, rec.State, must.Sprintf("seed %d: job %s is left as %+v", seed, key, rec))
		}
		starts += w.starts
	}
	t.Logf("%d task starts", starts)
	must.Greater(t, 1000, starts)
}

func runWithRandomFaults(t *testing.T, seed int64) *simulation {
	w := newSimulation(t, seed)
	for range 80 {
		w.advance(time.Duration(w.rng.Intn(6000)) * time.Millisecond)
		w.toggleFault()
	}
	w.clearFaults()
	w.advance(6 * time.Minute)
	return w
}

// The state machine reads no clock and no order of maps: the same messages at
// the same times give the same records.
func TestSameSeedGivesSameRecords(t *testing.T) {
	t.Parallel()
	for seed := range int64(5) {
		must.Eq(t, runWithRandomFaults(t, seed).ledger, runWithRandomFaults(t, seed).ledger)
	}
}
