package gang

import (
	"fmt"
	"time"

	"github.com/cyclamentray/cyclamentray/job"
	"github.com/cyclamentray/cyclamentray/workerapi"
)

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
func (r *Run) onListed(now time.Time, e TasksListed) []Action {
	m := r.member(e.Worker)
	if m == nil || !e.Answered || (r.Phase != Running && r.Phase != Adopting) {
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

func (r *Run) onLost(now time.Time, e WorkerLost) []Action {
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
		r.order = StopRequest{NextState: job.Finished}
		return r.close(now)
	}
	if r.Phase == Adopting && r.all(func(m *member) bool { return m.known }) {
		return r.whole(now)
	}
	return nil
}

func (r *Run) tickRunning(now time.Time) []Action {
	var out []Action
	if !r.checked && now.Sub(r.since) >= confirmAfter {
		r.checked = true
		for _, m := range r.members {
			out = append(out, ListTasks{Worker: m.worker})
		}
	}
	if !r.told {
		out = append(out, r.again(now, job.Running, "")...)
	}
	return out
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
			out = append(out, ListTasks{Worker: m.worker})
		}
	}
	return out
}
