package worker_test

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/cyclamentray/cyclamentray/standin/worker"
	"github.com/cyclamentray/cyclamentray/workerapi"
)

var g = workerapi.Gang{Job: "o/s/j", Generation: 1}

// newWorker returns a worker with four accelerators and its clock.
func newWorker(runTime time.Duration) (*worker.Server, *time.Time) {
	now := time.Unix(1_000_000, 0)
	w := worker.New(worker.Options{Name: "w", Accelerators: 4, Now: func() time.Time { return now },
		RunTime: func(workerapi.Gang, int) time.Duration { return runTime }})
	return w, &now
}

func reserve(w *worker.Server, term uint64) workerapi.Code {
	return w.Reserve(workerapi.ReserveRequest{Term: term, Gang: g, Tasks: []int{0, 1}, AcceleratorsPerTask: 2, TTL: time.Second}).Code
}

func start(w *worker.Server, term uint64) workerapi.Code {
	return w.Start(workerapi.StartRequest{Term: term, Gang: g, Tasks: []int{0, 1}, Size: 2, Lease: 20 * time.Second}).Code
}

func states(w *worker.Server) []workerapi.TaskState {
	var out []workerapi.TaskState
	for _, t := range w.Tasks().Tasks {
		out = append(out, t.State)
	}
	return out
}

func TestReservationLapses(t *testing.T) {
	t.Parallel()
	w, now := newWorker(time.Hour)
	must.EqOp(t, workerapi.OK, reserve(w, 1))
	*now = now.Add(time.Second)
	must.EqOp(t, workerapi.NoReservation, start(w, 1))
	must.SliceEmpty(t, states(w))
}

func TestTasksEndWhenTheirLeaseLapses(t *testing.T) {
	t.Parallel()
	w, now := newWorker(time.Hour)
	must.EqOp(t, workerapi.OK, reserve(w, 1))
	must.EqOp(t, workerapi.OK, start(w, 1))
	*now = now.Add(15 * time.Second)
	must.SliceEmpty(t, w.Renew(workerapi.RenewRequest{Gangs: []workerapi.Gang{g}, Lease: 20 * time.Second}).Missing)
	*now = now.Add(15 * time.Second)
	must.SliceEmpty(t, w.Renew(workerapi.RenewRequest{Gangs: []workerapi.Gang{g}}).Missing, must.Sprint("a probe"))
	*now = now.Add(5 * time.Second)
	late := w.Renew(workerapi.RenewRequest{Gangs: []workerapi.Gang{g}, Lease: 20 * time.Second})
	must.Eq(t, []workerapi.Gang{g}, late.Missing, must.Sprint("a worker that was frozen stops before it answers"))
	must.Eq(t, []workerapi.TaskState{workerapi.TaskStopped, workerapi.TaskStopped}, states(w))
}

func TestFinishBeforeTheLeaseEndsIsKept(t *testing.T) {
	t.Parallel()
	w, now := newWorker(10 * time.Second)
	must.EqOp(t, workerapi.OK, reserve(w, 1))
	must.EqOp(t, workerapi.OK, start(w, 1))
	*now = now.Add(time.Minute)
	must.Eq(t, []workerapi.TaskState{workerapi.TaskFinished, workerapi.TaskFinished}, states(w))
	*now = now.Add(worker.DefaultRetention)
	must.SliceEmpty(t, states(w))
}

func TestOlderTermsAndStoppedGenerationsAreRefused(t *testing.T) {
	t.Parallel()
	w, _ := newWorker(time.Hour)
	must.EqOp(t, workerapi.OK, reserve(w, 2))
	must.EqOp(t, workerapi.StaleTerm, start(w, 1))
	must.EqOp(t, workerapi.StaleTerm, w.Stop(workerapi.GangRequest{Term: 1, Gang: g}).Code)
	must.EqOp(t, workerapi.OK, w.Stop(workerapi.GangRequest{Term: 2, Gang: g}).Code)
	must.EqOp(t, workerapi.Refused, reserve(w, 2))
	must.EqOp(t, workerapi.NoReservation, start(w, 2))
}
