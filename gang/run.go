package gang

import (
	"time"

	"github.com/cyclamentray/cyclamentray/job"
	"github.com/cyclamentray/cyclamentray/workerapi"
)

// Times of a gang's life. The bound on a start after a taking-out is
// PermitAge + Hold.
const (
	// ReservationTTL is how long a reservation lives from its arrival at the worker.
	ReservationTTL = time.Second
	// LeaseDuration is how long tasks run without a renewal.
	LeaseDuration = 20 * time.Second
	// RenewInterval is the time between two renewals of a gang.
	RenewInterval = 5 * time.Second
	// CheckpointGrace is the longest a checkpoint may take before the stop. It is under
	// Lease less RenewEvery, so no renewal is needed meanwhile.
	CheckpointGrace = 10 * time.Second
	// leaseExpiryMargin covers timer skew when a lease is waited out.
	leaseExpiryMargin = 2 * time.Second
	// adoptionTimeout is how long a new scheduler waits for a gang's workers to answer.
	adoptionTimeout = 10 * time.Second
	// recordRetryInterval is how long an answer of the ledger is awaited before asking again.
	recordRetryInterval = 5 * time.Second
	// startCheckDelay is how long after its start a gang is asked for once, as many
	// tasks that fail at all fail at once.
	startCheckDelay = time.Second
	// workerRetryInterval is the time between two tries of an unanswered stop or fence.
	workerRetryInterval = time.Second
)

// Phase is a run's stage.
type Phase int

// The phases of a run.
const (
	RecordingPlacement Phase = iota // the ledger is asked to take the placement
	Reserving
	Starting
	Running
	Adopting         // found in the ledger by a new scheduler; workers are asked
	RecordingStop    // a stop by choice is being recorded
	Checkpointing    // tasks save their work
	Stopping         // workers are told to stop; the rest is waited out
	RecordingOutcome // the outcome is being recorded
	Ended
)

type memberStatus int

const (
	memberIdle memberStatus = iota
	memberReserved
	memberMayRun // a start was sent, or the ledger says that one may have been
	memberRunning
	memberFinished // all its tasks finished; nothing runs there
	memberStopped  // nothing runs there, and nothing can start
)

type member struct {
	worker       string
	tasks        []int
	status       memberStatus
	checkpointed bool
	listed       bool // answered a listing since adoption
}

// Run is one generation of a gang, from placement to end. It is pure state: it
// does no I/O and reads no clock. The Scheduler's loop owns it.
type Run struct {
	Gang    workerapi.Gang
	Phase   Phase
	Workers []string // worker of each task

	members         []*member   // in order of their first task
	phaseStart      time.Time   // start of the phase
	nextRetry       time.Time   // next retry
	stopRequest     StopRequest // why and into what it ends
	failed          bool
	suspectWorkers  []string
	requestedState  job.State // state last handed to the ledger
	startChecked    bool      // its workers were asked once after the start
	runningRecorded bool      // the ledger has the run as running
	fencedAt        time.Time // zero: not fenced
}

func newRunInPhase(g workerapi.Gang, workers []string, phase Phase, now time.Time) *Run {
	r := &Run{Gang: g, Phase: phase, Workers: workers, phaseStart: now, nextRetry: now}
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

// NewRun begins a new run: its placement goes to the ledger first.
func NewRun(g workerapi.Gang, workers []string, now time.Time) (*Run, []Action) {
	r := newRunInPhase(g, workers, RecordingPlacement, now)
	return r, []Action{r.recordState(job.Placed, "")}
}

// AdoptRun takes over a run that the ledger knows and this scheduler did not start.
func AdoptRun(g workerapi.Gang, workers []string, now time.Time) (*Run, []Action) {
	r := newRunInPhase(g, workers, Adopting, now)
	for _, m := range r.members {
		m.status = memberMayRun
	}
	return r, r.tick(now)
}

// ResumeStop takes over a stop that an earlier scheduler had recorded.
func ResumeStop(g workerapi.Gang, workers []string, order StopRequest, now time.Time) (*Run, []Action) {
	r := newRunInPhase(g, workers, Stopping, now)
	for _, m := range r.members {
		m.status = memberMayRun
	}
	r.stopRequest = order
	return r, r.tick(now)
}

func (r *Run) recordState(state job.State, reason string) RecordState {
	r.requestedState = state
	saved := r.allMembers(func(m *member) bool { return m.checkpointed })
	return RecordState{State: state, Reason: reason, Failed: r.failed, SuspectWorkers: r.suspectWorkers, Checkpointed: saved}
}

func (r *Run) enterPhase(p Phase, now time.Time) {
	r.Phase = p
	r.phaseStart = now
	r.nextRetry = now
}

func (r *Run) member(worker string) *member {
	for _, m := range r.members {
		if m.worker == worker {
			return m
		}
	}
	return nil
}

func (r *Run) allMembers(is func(*member) bool) bool {
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
	case TasksListed:
		return r.onListed(now, e)
	case StopRequest:
		return r.onStopRequest(now, e)
	case Checkpointed:
		return r.onCheckpointed(now, e)
	case WorkerLost:
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
	if e.State != r.requestedState {
		return nil
	}
	if e.Superseded {
		r.enterPhase(Ended, now) // what the ledger has instead is adopted
		return nil
	}
	switch r.Phase {
	case RecordingPlacement:
		return r.onPlaced(now, e.OK)
	case RecordingStop:
		if e.OK {
			return r.checkpointMembers(now)
		}
	case Running:
		r.runningRecorded = e.OK
	case RecordingOutcome:
		if e.OK {
			r.enterPhase(Ended, now)
		}
	}
	return nil
}

// isObsolete tells whether the ledger has the job in a state that a running gang
// can not be in, so that this run is obsolete.
func (r *Run) isObsolete(rec job.Record) bool {
	if r.Phase != Running {
		return false
	}
	return rec.Generation != r.Gang.Generation || (rec.State != job.Placed && rec.State != job.Running)
}

// tick retries what is unanswered and notices what took too long.
func (r *Run) tick(now time.Time) []Action {
	switch r.Phase {
	case Reserving, Starting:
		if now.Sub(r.phaseStart) >= 2*ReservationTTL {
			return r.failRun(now, "the gang's start took too long")
		}
	case Adopting:
		return r.tickAdopting(now)
	case Running:
		return r.tickRunning(now)
	case RecordingStop:
		return r.retryRecord(now, job.Stopping, r.stopRequest.Reason)
	case Checkpointing:
		if now.Sub(r.phaseStart) >= r.stopRequest.Grace {
			return r.stopMembers(now)
		}
	case Stopping:
		return r.tickStopping(now)
	case RecordingOutcome:
		return r.retryRecord(now, r.stopRequest.NextState, r.stopRequest.Reason)
	}
	return nil
}

// retryRecord repeats a record that the ledger did not confirm for a while.
func (r *Run) retryRecord(now time.Time, state job.State, reason string) []Action {
	if now.Before(r.nextRetry) {
		return nil
	}
	r.nextRetry = now.Add(recordRetryInterval)
	return []Action{r.recordState(state, reason)}
}
