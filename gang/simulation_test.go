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
	faultKinds       = 8 // cases of toggleFault
	simSeeds         = 150
	// maxPartialDuration limits how long only some tasks of a gang may run: a lease,
	// one renewal interval and messages in flight.
	maxPartialDuration = LeaseDuration + RenewInterval + 2*maxMessageDelay + 2*time.Second
)

// scheduledCall is a function to call at a virtual time; seq orders calls of the
// same time.
type scheduledCall struct {
	at   time.Time
	seq  int
	call func()
}

// callQueue is a heap of calls in the order of their times.
type callQueue []scheduledCall

func (q callQueue) Len() int { return len(q) }
func (q callQueue) Less(i, j int) bool {
	if q[i].at.Equal(q[j].at) {
		return q[i].seq < q[j].seq
	}
	return q[i].at.Before(q[j].at)
}
func (q callQueue) Swap(i, j int) { q[i], q[j] = q[j], q[i] }
func (q *callQueue) Push(x any)   { *q = append(*q, x.(scheduledCall)) }
func (q *callQueue) Pop() any {
	old := *q
	x := old[len(old)-1]
	*q = old[:len(old)-1]
	return x
}

// simHost is an entry host: it always renews leases, and schedules while it holds
// the term.
type simHost struct {
	planner       *RenewalPlanner
	ledgerSeen    map[string]job.Record // ledger as last read
	dead          bool
	pausedUntil   time.Time // the host does nothing until then
	platformCut   bool      // no connection to the platform
	term          uint64
	termEnd       time.Time // end of the term, on the host's own clock
	runs          map[string]*Run
	outSeen       bool
	configAskedAt time.Time // before the platform was last asked for the configuration
}

// simulation drives runs, renewals and worker stand-ins by random events in virtual
// time. Messages take up to maxMessageDelay; a message or its reply may be lost.
type simulation struct {
	t                *testing.T
	rng              *rand.Rand
	now              time.Time
	queue            callQueue
	seq              int
	workers          []*worker.Server
	hosts            [simHosts]*simHost
	linksCut         [simHosts][simWorkers]bool // no connection between host and worker
	ledger           map[string]job.Record
	term             uint64
	platformTermEnd  time.Time // end of the current term on the platform's clock
	platformDown     bool
	hostsPartitioned bool // the entry hosts cannot reach each other
	out              bool // the failure domain is out of service
	outAt            time.Time
	faultFree        bool                         // no faults occur
	enabledFaults    []int                        // kinds of faults that occur with this seed
	runTime          time.Duration                // of every task; 0: depends on the generation
	partialSince     map[workerapi.Gang]time.Time // gangs of which only some tasks run
	starts           int
}

func newSimulation(t *testing.T, seed int64) *simulation {
	sim := &simulation{t: t, rng: rand.New(rand.NewSource(seed)), now: time.Unix(1_000_000, 0),
		ledger: make(map[string]job.Record), partialSince: make(map[workerapi.Gang]time.Time)}
	for i := range simWorkers {
		sim.workers = append(sim.workers, worker.New(worker.Options{Name: fmt.Sprint(i), Accelerators: 2,
			Now: func() time.Time { return sim.now },
			RunTime: func(g workerapi.Gang, _ int) time.Duration {
				if sim.runTime > 0 {
					return sim.runTime
				}
				return time.Duration(20+int(g.Generation)*7) * time.Second
			},
			Fail: func(workerapi.Gang, int) bool { return !sim.faultFree && sim.rng.Intn(40) == 0 },
		}))
	}
	for i := range sim.hosts {
		sim.hosts[i] = &simHost{planner: NewRenewalPlanner(), runs: make(map[string]*Run)}
		sim.every(time.Second, func() { sim.runCycle(i) })
		sim.every(RenewInterval, func() { sim.renewRound(i) })
		sim.every(500*time.Millisecond, func() { sim.readPlatform(i) })
	}
	// Each seed has only some kinds of faults, so that faults last longer and
	// overlap.
	for kind := range faultKinds {
		if sim.rng.Intn(2) == 0 {
			sim.enabledFaults = append(sim.enabledFaults, kind)
		}
	}
	sim.enabledFaults = append(sim.enabledFaults, sim.rng.Intn(faultKinds))
	for i := range simJobs {
		rec := job.Record{Spec: job.Spec{ID: job.ID{Organisation: "o", Service: "s", Name: fmt.Sprint(i)},
			Shape: job.Shape{Tasks: 1 + i, AcceleratorsPerTask: 1}, Checkpoint: i%2 == 0}}
		rec.SetState(job.Queued, "", sim.now)
		sim.ledger[rec.Spec.ID.String()] = rec
	}
	return sim
}

func (sim *simulation) after(d time.Duration, do func()) {
	sim.seq++
	heap.Push(&sim.queue, scheduledCall{sim.now.Add(d), sim.seq, do})
}

func (sim *simulation) every(d time.Duration, do func()) {
	sim.after(time.Duration(sim.rng.Int63n(int64(d))), func() { do(); sim.repeat(d, do) })
}

func (sim *simulation) repeat(d time.Duration, do func()) {
	sim.after(d, func() { do(); sim.repeat(d, do) })
}

func (sim *simulation) messageDelay() time.Duration {
	if sim.faultFree || sim.rng.Intn(10) > 0 {
		return time.Duration(sim.rng.Intn(5)) * time.Millisecond
	}
	return time.Duration(sim.rng.Int63n(int64(maxMessageDelay)))
}

// pauseHost randomly pauses a host between its last check and the sending of its
// message, and returns for how long.
func (sim *simulation) pauseHost(h *simHost) time.Duration {
	if sim.faultFree || sim.rng.Intn(20) > 0 {
		return 0
	}
	d := time.Duration(sim.rng.Intn(20_000)) * time.Millisecond
	h.pausedUntil = sim.now.Add(d)
	return d
}

func (sim *simulation) messageLost() bool { return !sim.faultFree && sim.rng.Intn(30) == 0 }

// onHost runs do on a host once it is not paused, unless it crashed in the
// meantime.
func (sim *simulation) onHost(i int, h *simHost, do func()) {
	switch {
	case sim.hosts[i] != h || h.dead:
	case sim.now.Before(h.pausedUntil):
		sim.after(h.pausedUntil.Sub(sim.now), func() { sim.onHost(i, h, do) })
	default:
		do()
	}
}

// sendMessage delivers a call of host i to worker k and the reply to done. When
// either is lost, done gets the event failed after the call's timeout.
func (sim *simulation) sendMessage(i, k int, call func(*worker.Server) Event, failed Event, done func(Event)) {
	h := sim.hosts[i]
	answered := false
	sim.after(workerCallTimeout, func() {
		sim.onHost(i, h, func() {
			if !answered {
				answered = true
				done(failed)
			}
		})
	})
	if sim.linksCut[i][k] || sim.messageLost() {
		return
	}
	sim.after(sim.pauseHost(h)+sim.messageDelay(), func() {
		e := call(sim.workers[k])
		sim.checkInvariants()
		if sim.messageLost() {
			return
		}
		sim.after(sim.messageDelay(), func() {
			sim.onHost(i, h, func() {
				if !answered {
					answered = true
					done(e)
				}
			})
		})
	})
}

func (sim *simulation) holdsTerm(h *simHost) bool { return h.term != 0 && sim.now.Before(h.termEnd) }

func (sim *simulation) startPermitted(h *simHost, term uint64) bool {
	return sim.holdsTerm(h) && h.term == term && !h.outSeen && sim.now.Sub(h.configAskedAt) <= MaxConfigAge
}

func (sim *simulation) executeActions(i int, g workerapi.Gang, actions []Action) {
	h := sim.hosts[i]
	term := h.term
	post := func(e Event) {
		run := h.runs[g.Job]
		if run == nil || run.Gang != g || h.term != term {
			return
		}
		sim.executeActions(i, g, run.Step(sim.now, e))
		if run.Phase == Ended {
			delete(h.runs, g.Job)
		}
	}
	for _, a := range actions {
		sim.after(sim.messageDelay(), func() {
			sim.onHost(i, h, func() { sim.executeAction(i, g, term, a, post) })
		})
	}
}

func workerIndex(name string) int { return int(name[0] - '0') }

func (sim *simulation) executeAction(i int, g workerapi.Gang, term uint64, a Action, post func(Event)) {
	h := sim.hosts[i]
	req := workerapi.GangRequest{Term: term, Gang: g}
	switch a := a.(type) {
	case RecordState:
		post(sim.writeState(h, g, term, a))
	case Reserve:
		if !sim.startPermitted(h, term) {
			post(Reserved{Worker: a.Worker, Code: workerapi.Refused})
			return
		}
		sim.sendMessage(i, workerIndex(a.Worker), func(s *worker.Server) Event {
			r := s.Reserve(workerapi.ReserveRequest{Term: term, Gang: g, Tasks: a.Tasks, AcceleratorsPerTask: 1, TTL: ReservationTTL})
			return Reserved{Worker: a.Worker, Code: r.Code}
		}, Reserved{Worker: a.Worker}, post)
	case Start:
		if !sim.startPermitted(h, term) {
			post(Started{Worker: a.Worker})
			return
		}
		size := sim.ledger[g.Job].Spec.Shape.Tasks
		sim.sendMessage(i, workerIndex(a.Worker), func(s *worker.Server) Event {
			r := s.Start(workerapi.StartRequest{Term: term, Gang: g, Tasks: a.Tasks, Size: size, Lease: LeaseDuration})
			sim.checkStart(r.Code)
			return Started{Worker: a.Worker, Sent: true, Code: r.Code}
		}, Started{Worker: a.Worker, Sent: true}, post)
	case ListTasks:
		sim.sendMessage(i, workerIndex(a.Worker), func(s *worker.Server) Event {
			return TasksListed{Worker: a.Worker, Answered: true, Tasks: s.Tasks().Tasks}
		}, TasksListed{Worker: a.Worker}, post)
	case Checkpoint:
		sim.sendMessage(i, workerIndex(a.Worker), func(s *worker.Server) Event {
			return Checkpointed{Worker: a.Worker, OK: s.Checkpoint(req).Code == workerapi.OK}
		}, Checkpointed{Worker: a.Worker}, post)
	case Stop:
		sim.sendMessage(i, workerIndex(a.Worker), func(s *worker.Server) Event {
			return Stopped{Worker: a.Worker, OK: s.Stop(req).Code != workerapi.StaleTerm}
		}, Stopped{Worker: a.Worker}, post)
	case Fence:
		ok := true
		for _, other := range sim.hosts {
			if other != h && (sim.hostsPartitioned || other.dead || sim.now.Before(other.pausedUntil)) {
				ok = false // the host is listed but does not answer
				continue
			}
			other.planner.StopRenewing(sim.now, g)
		}
		post(Fenced{OK: ok})
	}
}

// writeState writes a run's state to the ledger. The reply may be lost after the
// write took effect.
func (sim *simulation) writeState(h *simHost, g workerapi.Gang, term uint64, a RecordState) Recorded {
	if sim.platformDown || h.platformCut {
		return Recorded{State: a.State}
	}
	run := h.runs[g.Job]
	if run == nil {
		return Recorded{State: a.State}
	}
	rec := job.Record{Generation: g.Generation, Workers: run.Workers, Term: term}
	next, err := transition(sim.ledger[g.Job], true, rec, a, 100, sim.now)
	if err != nil {
		return Recorded{State: a.State, Superseded: true}
	}
	sim.ledger[g.Job] = next
	return Recorded{State: a.State, OK: !sim.messageLost()}
}

// readPlatform reads the configuration and the ledger, and acquires or renews the
// term.
func (sim *simulation) readPlatform(i int) {
	h := sim.hosts[i]
	sim.onHost(i, h, func() {
		if sim.platformDown || h.platformCut {
			return
		}
		h.configAskedAt, h.outSeen = sim.now, sim.out
		h.ledgerSeen = make(map[string]job.Record)
		for k, v := range sim.ledger {
			h.ledgerSeen[k] = v
		}
		switch {
		case sim.holdsTerm(h) && h.term == sim.term:
			h.termEnd, sim.platformTermEnd = sim.now.Add(termDuration), sim.now.Add(termDuration)
		case !sim.now.Before(sim.platformTermEnd):
			sim.term++
			h.term, h.termEnd, sim.platformTermEnd = sim.term, sim.now.Add(termDuration), sim.now.Add(termDuration)
			h.runs = make(map[string]*Run)
		}
	})
}

// runCycle runs one scheduling cycle with random placement.
func (sim *simulation) runCycle(i int) {
	h := sim.hosts[i]
	sim.onHost(i, h, func() {
		if !sim.holdsTerm(h) {
			h.runs = make(map[string]*Run)
			return
		}
		for _, key := range sortedKeys(h.ledgerSeen) {
			rec := h.ledgerSeen[key]
			g := workerapi.Gang{Job: key, Generation: rec.Generation}
			run := h.runs[key]
			switch {
			case run != nil:
				sim.executeActions(i, run.Gang, run.Step(sim.now, Tick{}))
				if run.Phase == Ended {
					delete(h.runs, key)
				} else if h.outSeen || (!sim.faultFree && sim.rng.Intn(60) == 0) {
					sim.executeActions(i, run.Gang, run.Step(sim.now, StopRequest{NextState: job.Queued, Grace: checkpointGrace(rec)}))
				}
			case isLive(rec.State):
				run, actions := adoptRecorded(g, rec, sim.now)
				h.runs[key] = run
				sim.executeActions(i, g, actions)
			case rec.State == job.Queued && sim.startPermitted(h, h.term):
				g.Generation++
				var workers []string
				for _, k := range sim.rng.Perm(simWorkers)[:rec.Spec.Shape.Tasks] {
					workers = append(workers, fmt.Sprint(k))
				}
				run, actions := NewRun(g, workers, sim.now)
				h.runs[key] = run
				sim.executeActions(i, g, actions)
			}
		}
	})
}

// renewRound runs one round of a host's renewals. Both hosts renew every gang,
// which can only keep a gang running longer.
func (sim *simulation) renewRound(i int) {
	h := sim.hosts[i]
	sim.onHost(i, h, func() {
		var assigned []AssignedGang
		for _, key := range sortedKeys(h.ledgerSeen) {
			rec := h.ledgerSeen[key]
			if rec.State == job.Placed || rec.State == job.Running {
				g := workerapi.Gang{Job: key, Generation: rec.Generation}
				assigned = append(assigned, AssignedGang{Gang: g, Workers: distinct(rec.Workers)})
			}
		}
		h.planner.SetAssigned(sim.now, assigned)
		batches, unreachable := h.planner.PlanRound(sim.now)
		sim.applyObservations(i, unreachable)
		sim.sendBatches(i, batches)
		sim.sendBatches(i, h.planner.PlanSecondPass())
	})
}

func (sim *simulation) sendBatches(i int, batches []RenewalBatch) {
	for _, b := range batches {
		k := workerIndex(b.Worker)
		if sim.linksCut[i][k] || sim.messageLost() {
			continue
		}
		req := workerapi.RenewRequest{Gangs: b.Gangs, Lease: LeaseDuration}
		if b.Probe {
			req.Lease = 0
		}
		reply := sim.workers[k].Renew(req)
		if !sim.messageLost() {
			sim.applyObservations(i, sim.hosts[i].planner.HandleReply(sim.now, b, reply))
		}
	}
}

// applyObservations passes the observations of the host observer to the runs of all
// hosts that it can reach.
func (sim *simulation) applyObservations(observer int, observations []Observation) {
	for i, h := range sim.hosts {
		if sim.hostsPartitioned && i != observer {
			continue
		}
		for _, o := range observations {
			run := h.runs[o.Gang.Job]
			if run == nil || run.Gang != o.Gang || h.dead || !sim.holdsTerm(h) {
				continue
			}
			e := Event(TasksListed{Worker: o.Worker, Answered: true, Tasks: o.Tasks})
			if o.Unreachable {
				e = WorkerLost{Worker: o.Worker}
			}
			sim.executeActions(i, o.Gang, run.Step(sim.now, e))
		}
	}
}

// toggleFault starts or ends one random fault.
func (sim *simulation) toggleFault() {
	i, k := sim.rng.Intn(simHosts), sim.rng.Intn(simWorkers)
	switch sim.enabledFaults[sim.rng.Intn(len(sim.enabledFaults))] {
	case 0:
		sim.hosts[i].pausedUntil = sim.now.Add(time.Duration(sim.rng.Intn(40)) * time.Second)
	case 1: // the host crashes and restarts without its state
		sim.hosts[i] = &simHost{planner: NewRenewalPlanner(), runs: make(map[string]*Run)}
	case 2:
		sim.linksCut[i][k] = !sim.linksCut[i][k]
	case 3:
		sim.workers[k].Restart()
	case 4:
		sim.platformDown = !sim.platformDown
	case 5:
		sim.hosts[i].platformCut = !sim.hosts[i].platformCut
	case 6:
		sim.hostsPartitioned = !sim.hostsPartitioned
	case 7:
		sim.out = !sim.out
		sim.outAt = sim.now
	}
}

func (sim *simulation) clearFaults() {
	sim.faultFree, sim.platformDown, sim.out, sim.hostsPartitioned = true, false, false, false
	sim.linksCut = [simHosts][simWorkers]bool{}
	for _, h := range sim.hosts {
		h.platformCut, h.pausedUntil = false, time.Time{}
	}
}

func (sim *simulation) checkStart(code workerapi.Code) {
	if code != workerapi.OK {
		return
	}
	sim.starts++
	if sim.out && sim.now.Sub(sim.outAt) > maxStartAfterOut {
		sim.t.Fatalf("a task started %v after the failure domain was taken out of service", sim.now.Sub(sim.outAt))
	}
}

// checkInvariants is called after every event. At most one generation of a job may
// run at a time, and no gang may run with only some of its tasks for longer than
// maxPartialDuration.
func (sim *simulation) checkInvariants() {
	running := make(map[workerapi.Gang]int)
	runningOrFinished := make(map[workerapi.Gang]int)
	generation := make(map[string]uint64)
	for _, s := range sim.workers {
		for _, t := range s.Tasks().Tasks {
			if t.State == workerapi.TaskFinished {
				runningOrFinished[t.Gang]++
			}
			if t.State != workerapi.TaskRunning {
				continue
			}
			if g := generation[t.Gang.Job]; g != 0 && g != t.Gang.Generation {
				sim.t.Fatalf("two generations of job %s run: %d and %d", t.Gang.Job, g, t.Gang.Generation)
			}
			generation[t.Gang.Job] = t.Gang.Generation
			running[t.Gang]++
			runningOrFinished[t.Gang]++
		}
	}
	for g, n := range runningOrFinished {
		if running[g] == 0 || n == sim.ledger[g.Job].Spec.Shape.Tasks {
			delete(sim.partialSince, g)
		} else if since, known := sim.partialSince[g]; !known {
			sim.partialSince[g] = sim.now
		} else if sim.now.Sub(since) > maxPartialDuration {
			sim.t.Fatalf("only some tasks of gang %v ran for %v", g, sim.now.Sub(since))
		}
	}
	for g := range sim.partialSince {
		if runningOrFinished[g] == 0 {
			delete(sim.partialSince, g)
		}
	}
}

func (sim *simulation) advance(d time.Duration) {
	end := sim.now.Add(d)
	for sim.queue.Len() > 0 && !sim.queue[0].at.After(end) {
		next := heap.Pop(&sim.queue).(scheduledCall)
		sim.now = next.at
		next.call()
		sim.checkInvariants()
	}
	sim.now = end
}

// TestJobsFinishAfterRandomFaults drives hosts, workers and the platform through
// random faults, then clears the faults and expects every job to finish.
func TestJobsFinishAfterRandomFaults(t *testing.T) {
	t.Parallel()
	starts := 0
	for seed := range int64(simSeeds) {
		sim := runWithRandomFaults(t, seed)
		for key, rec := range sim.ledger {
			must.EqOp(t, job.Finished, rec.State, must.Sprintf("seed %d: job %s is left as %+v", seed, key, rec))
		}
		starts += sim.starts
	}
	t.Logf("%d task starts", starts)
	must.Greater(t, 1000, starts)
}

func runWithRandomFaults(t *testing.T, seed int64) *simulation {
	sim := newSimulation(t, seed)
	for range 80 {
		sim.advance(time.Duration(sim.rng.Intn(6000)) * time.Millisecond)
		sim.toggleFault()
	}
	sim.clearFaults()
	sim.advance(6 * time.Minute)
	return sim
}

// TestSameSeedGivesSameRecords checks that runs are deterministic: a state machine
// that read a clock or depended on map order would give different records for the
// same messages at the same times.
func TestSameSeedGivesSameRecords(t *testing.T) {
	t.Parallel()
	for seed := range int64(5) {
		must.Eq(t, runWithRandomFaults(t, seed).ledger, runWithRandomFaults(t, seed).ledger)
	}
}
