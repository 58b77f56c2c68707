package gang

import (
	"fmt"
	"time"

	"github.com/cyclamentray/cyclamentray/job"
	"github.com/cyclamentray/cyclamentray/workerapi"
)

// onPlaced sends the reservations once the ledger confirmed the placement.
// Otherwise the run ends; if the placement was written after all, the scheduler
// adopts it.
func (r *Run) onPlaced(now time.Time, ok bool) []Action {
	if !ok {
		r.enterPhase(Ended, now)
		return nil
	}
	r.enterPhase(Reserving, now)
	var out []Action
	for _, m := range r.members {
		out = append(out, Reserve{Worker: m.worker, Tasks: m.tasks})
	}
	return out
}

func (r *Run) onReserved(now time.Time, e Reserved) []Action {
	m := r.member(e.Worker)
	if r.Phase != Reserving || m == nil {
		return nil
	}
	if e.Code != workerapi.OK {
		return r.failRun(now, fmt.Sprintf("worker %s made no reservation: %s", e.Worker, describeRefusal(e.Code, e.Reason)))
	}
	m.status = memberReserved
	if !r.allMembers(func(m *member) bool { return m.status == memberReserved }) {
		return nil
	}
	r.enterPhase(Starting, now)
	var out []Action
	for _, m := range r.members {
		m.status = memberMayRun
		out = append(out, Start{Worker: m.worker, Tasks: m.tasks})
	}
	return out
}

func describeRefusal(code workerapi.Code, reason string) string {
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
	if m == nil || m.status != memberMayRun || (r.Phase != Starting && r.Phase != Stopping) {
		return nil
	}
	if !e.Sent || e.Code == workerapi.NoReservation || e.Code == workerapi.StaleTerm {
		m.status = memberStopped
	}
	if r.Phase == Stopping {
		return r.recordOutcomeIfStopped(now)
	}
	if e.Code != workerapi.OK {
		return r.failRun(now, fmt.Sprintf("the start on worker %s was not confirmed: %s", e.Worker, describeRefusal(e.Code, e.Reason)))
	}
	m.status = memberRunning
	if !r.allMembers(func(m *member) bool { return m.status == memberRunning }) {
		return nil
	}
	return r.enterRunning(now)
}

// enterRunning enters phase Running and writes that state to the ledger.
func (r *Run) enterRunning(now time.Time) []Action {
	r.enterPhase(Running, now)
	r.nextRetry = now.Add(recordRetryInterval)
	return []Action{r.recordState(job.Running, "")}
}

// onTasksListed compares a worker's tasks with those that the run placed on it.
func (r *Run) onTasksListed(now time.Time, e TasksListed) []Action {
	m := r.member(e.Worker)
	if m == nil || !e.Answered || (r.Phase != Running && r.Phase != Adopting) {
		return nil
	}
	m.listed = true
	running, finished := 0, 0
	for _, t := range e.Tasks {
		switch {
		case t.Gang != r.Gang:
		case t.State == workerapi.TaskRunning:
			running++
		case t.State == workerapi.TaskFinished:
			finished++
		case t.State == workerapi.TaskFailed:
			return r.onTaskFailed(now, m, t)
		}
	}
	switch {
	case finished == len(m.tasks):
		m.status = memberFinished
	case running+finished == len(m.tasks):
		m.status = memberRunning
	default:
		m.status = memberMayRun
		return r.failRun(now, fmt.Sprintf("worker %s lost tasks of the gang", m.worker))
	}
	return r.checkMembers(now)
}

func (r *Run) onWorkerLost(now time.Time, e WorkerLost) []Action {
	m := r.member(e.Worker)
	if m == nil || m.status == memberFinished || r.Phase != Running {
		return nil
	}
	return r.failRun(now, e.Reason)
}

func (r *Run) onTaskFailed(now time.Time, m *member, t workerapi.Task) []Action {
	r.taskFailed = true
	r.suspectWorkers = append(r.suspectWorkers, m.worker)
	return r.failRun(now, fmt.Sprintf("task %d failed on worker %s: %s", t.Index, m.worker, t.Reason))
}

// checkMembers ends a run whose tasks all finished, and completes the adoption of
// a gang once every member has listed its tasks.
func (r *Run) checkMembers(now time.Time) []Action {
	if r.allMembers(func(m *member) bool { return m.status == memberFinished }) {
		r.stopRequest = StopRequest{NextState: job.Finished}
		return r.recordOutcome(now)
	}
	if r.Phase == Adopting && r.allMembers(func(m *member) bool { return m.listed }) {
		return r.enterRunning(now)
	}
	return nil
}

func (r *Run) tickRunning(now time.Time) []Action {
	var out []Action
	if !r.startChecked && now.Sub(r.phaseStart) >= startCheckDelay {
		r.startChecked = true
		for _, m := range r.members {
			out = append(out, ListTasks{Worker: m.worker})
		}
	}
	if !r.runningRecorded {
		out = append(out, r.retryRecord(now, job.Running, "")...)
	}
	return out
}

func (r *Run) tickAdopting(now time.Time) []Action {
	if now.Sub(r.phaseStart) >= adoptionTimeout {
		return r.failRun(now, "a worker of the gang did not answer the new scheduler")
	}
	if now.Before(r.nextRetry) {
		return nil
	}
	r.nextRetry = now.Add(workerRetryInterval)
	var out []Action
	for _, m := range r.members {
		if !m.listed {
			out = append(out, ListTasks{Worker: m.worker})
		}
	}
	return out
}
