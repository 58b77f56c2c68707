package gang

import (
	"fmt"
	"time"

	"github.com/cyclamentray/cyclamentray/job"
	"github.com/cyclamentray/cyclamentray/workerapi"
)

// Times of a gang's life. The bound on a start after a taking-out is
// PermitAge + Hold.
const (
	// Hold is how long a reservation lives from its arrival at the worker.
	Hold = time.Second
	// Lease is how long tasks run without a renewal.
	Lease = 20 * time.Second
	// RenewEvery is the time between two renewals of a gang.
	RenewEvery = 5 * time.Second
	// Grace is the longest a checkpoint may take before the stop. It is under
	// Lease less RenewEvery, so no renewal is needed meanwhile.
	Grace = 10 * time.Second
	// lapseMargin covers timer skew when a lease is waited out.
	lapseMargin = 2 * time.Second
	// adoptPatience is how long a new scheduler waits for a gang's workers to answer.
	adoptPatience = 10 * time.Second
	// callPatience is how long an answer of the ledger is awaited before asking again.
	callPatience = 5 * time.Second
	// confirmAfter is how long after its start a gang is asked for once, as many
	// tasks that fail at all fail at once.
	confirmAfter = time.Second
	// retryEvery is the time between two tries of an unanswered stop or fence.
	retryEvery = time.Second
)

// Phase is a run's stage.
type Phase int

// The phases of a run.
const (
	Recording Phase = iota // the ledger is asked to take the placement
	Reserving
	Starting
	Running
	Adopting // found in the ledger by a new scheduler; workers are asked
	Ordered  // a stop by choice is being recorded
	Saving   // tasks save their work
	Stopping // workers are told to stop; the rest is waited out
	Closing  // the outcome is being recorded
	Ended
)

type status int

const (
	idle status = iota
	reserved
	mayRun // a start was sent, or the ledger says that one may have been
	runs
	finished // all its tasks finished; nothing runs there
	stopped  // nothing runs there, and nothing can start
)

type member struct {
	worker string
	tasks  []int
	status status
	saved  bool
	known  bool // answered a listing since adoption
}

// Run is one generation of a gang, from placement to end. It is pure state: it
// does no I/O and reads no clock. The Scheduler's loop owns it.
type Run struct {
	Gang    workerapi.Gang
	Phase   Phase
	Workers []string // worker of each task

	members []*member // in order of their first task
	since   time.Time // start of the phase
	next    time.Time // next retry
	order   StopOrder // why and into what it ends
	failed  bool
	suspect []string
	asked   job.State // state last handed to the ledger
	checked bool      // its workers were asked once after the start
	told    bool      // the ledger has the run as running
	fenced  time.Time // zero: not fenced
}

func newRun(g workerapi.Gang, workers []string, phase Phase, now time.Time) *Run {
	r := &Run{Gang: g, Phase: phase, Workers: workers, since: now, next: now}
	byWorker := make(map[string]*member)
	for i, w := range workers {
		m := byWorker[w]
		if m == nil {
			m = &member{worker: w}
			byWorker[w] = m
			r.members = append(r.members, m)
		}
		m.tasks = append(m.tasks, i)
	}
	return r
}

// Place begins a new run: its placement goes to the ledger first.
func Place(g workerapi.Gang, workers []string, now time.Time) (*Run, []Action) {
	r := newRun(g, workers, Recording, now)
	return r, []Action{r.record(job.Placed, "")}
}

// Adopt takes over a run that the ledger knows and this scheduler did not start.
func Adopt(g workerapi.Gang, workers []string, now time.Time) (*Run, []Action) {
	r := newRun(g, workers, Adopting, now)
	for _, m := range r.members {
		m.status = mayRun
	}
	return r, r.tick(now)
}

// Resume takes over a stop that an earlier scheduler had recorded.
func Resume(g workerapi.Gang, workers []string, order StopOrder, now time.Time) (*Run, []Action) {
	r := newRun(g, workers, Stopping, now)
	for _, m := range r.members {
		m.status = mayRun
	}
	r.order = order
	return r, r.tick(now)
}

func (r *Run) record(state job.State, reason string) Record {
	r.asked = state
	saved := r.all(func(m *member) bool { return m.saved })
	return Record{State: state, Reason: reason, Failed: r.failed, Suspect: r.suspect, Saved: saved}
}

func (r *Run) enter(p Phase, now time.Time) {
	r.Phase = p
	r.since = now
	r.next = now
}

func (r *Run) member(worker string) *member {
	for _, m := range r.members {
		if m.worker == worker {
			return m
		}
	}
	return nil
}

func (r *Run) all(is func(*member) bool) bool {
	for _, m := range r.members {
		if !is(m) {
			return false
		}
	}
	return true
}

// Step takes one event and returns what to do.
func (r *Run) Step(now time.Time, e Event) []Action {
	switch e := e.(type) {
	case Recorded:
		return r.onRecorded(now, e)
	case Reserved:
		return r.onReserved(now, e)
	case Started:
		return r.onStarted(now, e)
	case Listed:
		return r.onListed(now, e)
	case StopOrder:
		return r.onOrder(now, e)
	case Checkpointed:
		return r.onCheckpointed(now, e)
	case Lost:
		return r.onLost(now, e)
	case Stopped:
		return r.onStopped(now, e)
	case Fenced:
		return r.onFenced(now, e)
	default:
		return r.tick(now)
	}
}

func (r *Run) onRecorded(now time.Time, e Recorded) []Action {
	if e.State != r.asked {
		return nil
	}
	if e.Superseded {
		r.enter(Ended, now) // what the ledger has instead is adopted
		return nil
	}
	switch r.Phase {
	case Recording:
		return r.onPlaced(now, e.OK)
	case Ordered:
		if e.OK {
			return r.save(now)
		}
	case Running:
		r.told = e.OK
	case Closing:
		if e.OK {
			r.enter(Ended, now)
		}
	}
	return nil
}

// onPlaced reserves once the placement is in the ledger. When it may not be,
// the run ends; a placement that stands after all is adopted.
func (r *Run) onPlaced(now time.Time, ok bool) []Action {
	if !ok {
		r.enter(Ended, now)
		return nil
	}
	r.enter(Reserving, now)
	var out []Action
	for _, m := range r.members {
		out = append(out, Reserve{Worker: m.worker, Tasks: m.tasks})
	}
	return out
}

// outrun tells whether the ledger has the job in a state that a running gang
// can not be in, so that this run is obsolete.
func (r *Run) outrun(rec job.Record) bool {
	if r.Phase != Running {
		return false
	}
	return rec.Generation != r.Gang.Generation || (rec.State != job.Placed && rec.State != job.Running)
}

func (r *Run) onReserved(now time.Time, e Reserved) []Action {
	m := r.member(e.Worker)
	if r.Phase != Reserving || m == nil {
		return nil
	}
	if e.Code != workerapi.OK {
		return r.fail(now, fmt.Sprintf("worker %s made no reservation: %s", e.Worker, describe(e.Code, e.Reason)))
	}
	m.status = reserved
	if !r.all(func(m *member) bool { return m.status == reserved }) {
		return nil
	}
	r.enter(Starting, now)
	var out []Action
	for _, m := range r.members {
		m.status = mayRun
		out = append(out, Start{Worker: m.worker, Tasks: m.tasks})
	}
	return out
}

func describe(code workerapi.Code, reason string) string {
	if code == "" {
		return "no answer"
	}
	if reason == "" {
		return string(code)
	}
	return reason
}

func (r *Run) onStarted(now time.Time, e Started) []Action {
	m := r.member(e.Worker)
	if m == nil || m.status != mayRun || (r.Phase != Starting && r.Phase != Stopping) {
		return nil
	}
	if !e.Sent || e.Code == workerapi.NoReservation || e.Code == workerapi.StaleTerm {
		m.status = stopped
	}
	if r.Phase == Stopping {
		return r.closeIfStopped(now)
	}
	if e.Code != workerapi.OK {
		return r.fail(now, fmt.Sprintf("the start on worker %s was not confirmed: %s", e.Worker, describe(e.Code, e.Reason)))
	}
	m.status = runs
	if !r.all(func(m *member) bool { return m.status == runs }) {
		return nil
	}
	return r.whole(now)
}

// whole notes that every member runs.
func (r *Run) whole(now time.Time) []Action {
	r.enter(Running, now)
	r.next = now.Add(callPatience)
	return []Action{r.record(job.Running, "")}
}

// onListed compares what a worker holds with what it should.
func (r *Run) onListed(now time.Time, e Listed) []Action {
	m := r.member(e.Worker)
	if m == nil || !e.Known || (r.Phase != Running && r.Phase != Adopting) {
		return nil
	}
	m.known = true
	running, done := 0, 0
	for _, t := range e.Tasks {
		switch {
		case t.Gang != r.Gang:
		case t.State == workerapi.TaskRunning:
			running++
		case t.State == workerapi.TaskFinished:
			done++
		case t.State == workerapi.TaskFailed:
			return r.onTaskFailed(now, m, t)
		}
	}
	switch {
	case done == len(m.tasks):
		m.status = finished
	case running+done == len(m.tasks):
		m.status = runs
	default:
		m.status = mayRun
		return r.fail(now, fmt.Sprintf("worker %s lost tasks of the gang", m.worker))
	}
	return r.settle(now)
}

func (r *Run) onLost(now time.Time, e Lost) []Action {
	m := r.member(e.Worker)
	if m == nil || m.status == finished || r.Phase != Running {
		return nil
	}
	return r.fail(now, e.Reason)
}

func (r *Run) onTaskFailed(now time.Time, m *member, t workerapi.Task) []Action {
	r.failed = true
	r.suspect = append(r.suspect, m.worker)
	return r.fail(now, fmt.Sprintf("task %d failed on worker %s: %s", t.Index, m.worker, t.Reason))
}

// settle ends a run whose tasks all finished, and takes over a whole gang.
func (r *Run) settle(now time.Time) []Action {
	if r.all(func(m *member) bool { return m.status == finished }) {
		r.order = StopOrder{Next: job.Finished}
		return r.close(now)
	}
	if r.Phase == Adopting && r.all(func(m *member) bool { return m.known }) {
		return r.whole(now)
	}
	return nil
}

func (r *Run) onOrder(now time.Time, e StopOrder) []Action {
	switch r.Phase {
	case Running:
		r.order = e
		r.enter(Ordered, now)
		r.next = now.Add(callPatience)
		return []Action{r.record(job.Stopping, e.Reason)}
	case Reserving, Starting:
		r.order = e
		return r.stop(now)
	case Ordered, Saving, Stopping:
		r.strengthen(e)
	}
	return nil
}

// strengthen lets a later order end a job that would have run again.
func (r *Run) strengthen(e StopOrder) {
	if r.order.Next == job.Queued && e.Next.Terminal() {
		r.order.Next, r.order.Reason = e.Next, e.Reason
	}
}

func (r *Run) save(now time.Time) []Action {
	if r.order.Grace <= 0 {
		return r.stop(now)
	}
	r.enter(Saving, now)
	var out []Action
	for _, m := range r.members {
		out = append(out, Checkpoint{Worker: m.worker, Grace: r.order.Grace})
	}
	return out
}

func (r *Run) onCheckpointed(now time.Time, e Checkpointed) []Action {
	m := r.member(e.Worker)
	if m == nil || r.Phase != Saving || !e.OK {
		return nil
	}
	m.saved = true
	if r.all(func(m *member) bool { return m.saved || m.status == finished }) {
		return r.stop(now)
	}
	return nil
}

// fail ends the run because it can not be whole. It runs again unless an
// earlier order says otherwise; the scheduler counts failures.
func (r *Run) fail(now time.Time, reason string) []Action {
	if r.order.Next == "" {
		r.order = StopOrder{Next: job.Queued, Reason: reason}
	}
	return r.stop(now)
}

// stop tells every worker to end the gang. Where no start was sent, nothing
// runs and the message only frees the reservation early.
func (r *Run) stop(now time.Time) []Action {
	r.enter(Stopping, now)
	for _, m := range r.members {
		if m.status == idle || m.status == reserved {
			m.status = stopped
		}
	}
	out := r.tick(now)
	for _, m := range r.members {
		if m.status == stopped {
			out = append(out, Stop{Worker: m.worker, Reason: r.order.Reason})
		}
	}
	return append(out, r.closeIfStopped(now)...)
}

func (r *Run) onStopped(now time.Time, e Stopped) []Action {
	m := r.member(e.Worker)
	if m == nil || r.Phase != Stopping || !e.OK {
		return nil
	}
	m.status = stopped
	return r.closeIfStopped(now)
}

func (r *Run) onFenced(now time.Time, e Fenced) []Action {
	if r.Phase == Stopping && e.OK && r.fenced.IsZero() {
		r.fenced = now
	}
	return nil
}

func (r *Run) closeIfStopped(now time.Time) []Action {
	if !r.all(func(m *member) bool { return m.status == stopped || m.status == finished }) {
		return nil
	}
	return r.close(now)
}

func (r *Run) close(now time.Time) []Action {
	r.enter(Closing, now)
	r.next = now.Add(callPatience)
	return []Action{r.record(r.order.Next, r.order.Reason)}
}

// lapsed tells whether leases that were not confirmed as stopped have surely
// ended: nobody renews them, and a start under way has lost its reservation.
func (r *Run) lapsed(now time.Time) bool {
	return !r.fenced.IsZero() && !now.Before(r.fenced.Add(Hold+Lease+lapseMargin))
}

// tick retries what is unanswered and notices what took too long.
func (r *Run) tick(now time.Time) []Action {
	switch r.Phase {
	case Reserving, Starting:
		if now.Sub(r.since) >= 2*Hold {
			return r.fail(now, "the gang's start took too long")
		}
	case Adopting:
		return r.tickAdopting(now)
	case Running:
		return r.tickRunning(now)
	case Ordered:
		return r.again(now, job.Stopping, r.order.Reason)
	case Saving:
		if now.Sub(r.since) >= r.order.Grace {
			return r.stop(now)
		}
	case Stopping:
		return r.tickStopping(now)
	case Closing:
		return r.again(now, r.order.Next, r.order.Reason)
	}
	return nil
}

func (r *Run) tickRunning(now time.Time) []Action {
	var out []Action
	if !r.checked && now.Sub(r.since) >= confirmAfter {
		r.checked = true
		for _, m := range r.members {
			out = append(out, List{Worker: m.worker})
		}
	}
	if !r.told {
		out = append(out, r.again(now, job.Running, "")...)
	}
	return out
}

// again repeats a record that the ledger did not confirm for a while.
func (r *Run) again(now time.Time, state job.State, reason string) []Action {
	if now.Before(r.next) {
		return nil
	}
	r.next = now.Add(callPatience)
	return []Action{r.record(state, reason)}
}

func (r *Run) tickAdopting(now time.Time) []Action {
	if now.Sub(r.since) >= adoptPatience {
		return r.fail(now, "a worker of the gang did not answer the new scheduler")
	}
	if now.Before(r.next) {
		return nil
	}
	r.next = now.Add(retryEvery)
	var out []Action
	for _, m := range r.members {
		if !m.known {
			out = append(out, List{Worker: m.worker})
		}
	}
	return out
}

func (r *Run) tickStopping(now time.Time) []Action {
	if r.lapsed(now) {
		for _, m := range r.members {
			m.status = stopped
		}
		return r.closeIfStopped(now)
	}
	if now.Before(r.next) {
		return nil
	}
	r.next = now.Add(retryEvery)
	var out []Action
	for _, m := range r.members {
		if m.status == mayRun || m.status == runs {
			out = append(out, Stop{Worker: m.worker, Reason: r.order.Reason})
		}
	}
	if len(out) > 0 && r.fenced.IsZero() && now.Sub(r.since) >= retryEvery {
		out = append(out, Fence{})
	}
	return out
}
