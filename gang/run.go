package gang

import (
	"time"

	"github.com/cyclamentray/cyclamentray/job"
	"github.com/cyclamentray/cyclamentray/workerapi"
)

// Durations in the life cycle of a gang. A task starts at most MaxConfigAge +
// ReservationTTL after its failure domain was taken out of service: an older
// configuration permits no start, and a start request that arrives later finds
// its reservation expired.
const (
	// ReservationTTL is how long a reservation lasts from its arrival at the worker.
	ReservationTTL = time.Second
	// LeaseDuration is how long tasks run without a renewal.
	LeaseDuration = 20 * time.Second
	// RenewInterval is the interval between renewals of a gang.
	RenewInterval = 5 * time.Second
	// CheckpointGrace is the longest time a checkpoint may take before the stop. It
	// is shorter than LeaseDuration - RenewInterval, so that no renewal is needed
	// in the meantime.
	CheckpointGrace = 10 * time.Second
	// leaseExpiryMargin allows for timer skew when waiting for leases to expire.
	leaseExpiryMargin = 2 * time.Second
	// adoptionTimeout is how long a new scheduler waits for all workers of an
	// adopted gang to list their tasks.
	adoptionTimeout = 10 * time.Second
	// recordRetryInterval is the time after which an unconfirmed write to the ledger
	// is repeated.
	recordRetryInterval = 5 * time.Second
	// startCheckDelay is the time from a gang's start to a single listing of its
	// tasks, since many tasks that fail do so immediately.
	startCheckDelay = time.Second
	// workerRetryInterval is the time after which an unanswered task listing, stop or
	// fence is repeated.
	workerRetryInterval = time.Second
)

// Phase is the phase of a run.
type Phase int

// Phases of a run.
const (
	RecordingPlacement Phase = iota // the placement is being written to the ledger
	Reserving
	Starting
	Running
	Adopting         // found in the ledger by a new scheduler; workers list their tasks
	RecordingStop    // a requested stop is being written to the ledger
	Checkpointing    // tasks are being checkpointed
	Stopping         // workers stop the gang, or its leases are waited out
	RecordingOutcome // the outcome is being written to the ledger
	Ended
)

// memberStatus is the state of a gang's tasks on one worker.
type memberStatus int

const (
	memberIdle memberStatus = iota
	memberReserved
	memberMayRun // a start was sent, or may have been, according to the ledger
	memberRunning
	memberFinished // all its tasks finished; nothing runs there
	memberStopped  // nothing runs there, and nothing can start
)

// member is the part of a gang on one worker.
type member struct {
	worker       string
	tasks        []int
	status       memberStatus
	checkpointed bool
	listed       bool // listed its tasks at least once
}

// Run is the state machine of one generation of a gang, from placement to end. It
// does no I/O and reads no clock. The Scheduler's loop owns it.
type Run struct {
	Gang    workerapi.Gang
	Phase   Phase
	Workers []string // worker of each task

	members         []*member   // in order of their first task
	phaseStart      time.Time   // start of the phase
	nextRetry       time.Time   // of unanswered actions
	stopRequest     StopRequest // why the run ends and the state it leaves the job in
	taskFailed      bool
	suspectWorkers  []string
	requestedState  job.State // state last written to the ledger, confirmed or not
	startChecked    bool      // the listing after startCheckDelay was sent
	runningRecorded bool      // the ledger confirmed the Running state
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

// NewRun begins a new run. Its first action writes the placement to the ledger.
func NewRun(g workerapi.Gang, workers []string, now time.Time) (*Run, []Action) {
	r := newRunInPhase(g, workers, RecordingPlacement, now)
	return r, []Action{r.recordState(job.Placed, "")}
}

// AdoptRun takes over a run that the ledger lists as live and that this scheduler
// did not start.
func AdoptRun(g workerapi.Gang, workers []string, now time.Time) (*Run, []Action) {
	r := newRunInPhase(g, workers, Adopting, now)
	for _, m := range r.members {
		m.status = memberMayRun
	}
	return r, r.tick(now)
}

// ResumeStop continues a stop that an earlier scheduler wrote to the ledger.
func ResumeStop(g workerapi.Gang, workers []string, request StopRequest, now time.Time) (*Run, []Action) {
	r := newRunInPhase(g, workers, Stopping, now)
	for _, m := range r.members {
		m.status = memberMayRun
	}
	r.stopRequest = request
	return r, r.tick(now)
}

func (r *Run) recordState(state job.State, reason string) RecordState {
	r.requestedState = state
	checkpointed := r.allMembers(func(m *member) bool { return m.checkpointed })
	return RecordState{State: state, Reason: reason, Failed: r.taskFailed, SuspectWorkers: r.suspectWorkers, Checkpointed: checkpointed}
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

func (r *Run) allMembers(matches func(*member) bool) bool {
	for _, m := range r.members {
		if !matches(m) {
			return false
		}
	}
	return true
}

// Step handles one event and returns the actions to execute.
func (r *Run) Step(now time.Time, e Event) []Action {
	switch e := e.(type) {
	case Recorded:
		return r.onRecorded(now, e)
	case Reserved:
		return r.onReserved(now, e)
	case Started:
		return r.onStarted(now, e)
	case TasksListed:
		return r.onTasksListed(now, e)
	case StopRequest:
		return r.onStopRequest(now, e)
	case Checkpointed:
		return r.onCheckpointed(now, e)
	case WorkerLost:
		return r.onWorkerLost(now, e)
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
		r.enterPhase(Ended, now) // the scheduler adopts the ledger's state instead
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

// isObsolete reports whether the run is in phase Running while the ledger's record
// is of another generation or in a state that a running gang cannot be in.
func (r *Run) isObsolete(rec job.Record) bool {
	if r.Phase != Running {
		return false
	}
	return rec.Generation != r.Gang.Generation || (rec.State != job.Placed && rec.State != job.Running)
}

// tick retries unanswered actions and ends phases that have timed out.
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

// retryRecord repeats an unconfirmed write to the ledger every
// recordRetryInterval.
func (r *Run) retryRecord(now time.Time, state job.State, reason string) []Action {
	if now.Before(r.nextRetry) {
		return nil
	}
	r.nextRetry = now.Add(recordRetryInterval)
	return []Action{r.recordState(state, reason)}
}
