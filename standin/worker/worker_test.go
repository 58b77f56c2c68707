package worker_test

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/cyclamentray/cyclamentray/standin/worker"
	"github.com/cyclamentray/cyclamentray/workerapi"
)

var testGang = workerapi.Gang{Job: "o/s/j", Generation: 1}

// newWorker returns a worker with four accelerators and the time on its clock.
func newWorker(runTime time.Duration) (*worker.Server, *time.Time) {
	now := time.Unix(1_000_000, 0)
	w := worker.New(worker.Options{Name: "w", Accelerators: 4, Now: func() time.Time { return now },
		RunTime: func(workerapi.Gang, int) time.Duration { return runTime }})
	return w, &now
}

func reserve(w *worker.Server, term uint64) workerapi.Code {
	return w.Reserve(workerapi.ReserveRequest{Term: term, Gang: testGang, Tasks: []int{0, 1}, AcceleratorsPerTask: 2, TTL: time.Second}).Code
}

func start(w *worker.Server, term uint64) workerapi.Code {
	return w.Start(workerapi.StartRequest{Term: term, Gang: testGang, Tasks: []int{0, 1}, Size: 2, Lease: 20 * time.Second}).Code
}

func taskStates(w *worker.Server) []workerapi.TaskState {
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
	must.SliceEmpty(t, taskStates(w))
}

func TestTasksEndWhenTheirLeaseLapses(t *testing.T) {
	t.Parallel()
	w, now := newWorker(time.Hour)
	must.EqOp(t, workerapi.OK, reserve(w, 1))
	must.EqOp(t, workerapi.OK, start(w, 1))
	*now = now.Add(15 * time.Second)
	must.SliceEmpty(t, w.Renew(workerapi.RenewRequest{Gangs: []workerapi.Gang{testGang}, Lease: 20 * time.Second}).Missing)
	*now = now.Add(15 * time.Second)
	must.SliceEmpty(t, w.Renew(workerapi.RenewRequest{Gangs: []workerapi.Gang{testGang}}).Missing, must.Sprint("a renewal with a lease of 0 only checks that the gang runs"))
	*now = now.Add(5 * time.Second)
	late := w.Renew(workerapi.RenewRequest{Gangs: []workerapi.Gang{testGang}, Lease: 20 * time.Second})
	must.Eq(t, []workerapi.Gang{testGang}, late.Missing, must.Sprint("a worker that was frozen ends lapsed tasks before it answers"))
	must.Eq(t, []workerapi.TaskState{workerapi.TaskStopped, workerapi.TaskStopped}, taskStates(w))
}

func TestFinishBeforeTheLeaseEndsIsKept(t *testing.T) {
	t.Parallel()
	w, now := newWorker(10 * time.Second)
	must.EqOp(t, workerapi.OK, reserve(w, 1))
	must.EqOp(t, workerapi.OK, start(w, 1))
	*now = now.Add(time.Minute)
	must.Eq(t, []workerapi.TaskState{workerapi.TaskFinished, workerapi.TaskFinished}, taskStates(w))
	*now = now.Add(worker.DefaultRetention)
	must.SliceEmpty(t, taskStates(w))
}

func TestOlderTermsAndStoppedGenerationsAreRefused(t *testing.T) {
	t.Parallel()
	w, _ := newWorker(time.Hour)
	must.EqOp(t, workerapi.OK, reserve(w, 2))
	must.EqOp(t, workerapi.StaleTerm, start(w, 1))
	must.EqOp(t, workerapi.StaleTerm, w.Stop(workerapi.GangRequest{Term: 1, Gang: testGang}).Code)
	must.EqOp(t, workerapi.OK, w.Stop(workerapi.GangRequest{Term: 2, Gang: testGang}).Code)
	must.EqOp(t, workerapi.Refused, reserve(w, 2))
	must.EqOp(t, workerapi.NoReservation, start(w, 2))
}
