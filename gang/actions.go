package gang

import (
	"context"

	"github.com/cyclamentray/cyclamentray/apierr"
	"github.com/cyclamentray/cyclamentray/job"
	"github.com/cyclamentray/cyclamentray/telemetry"
	"github.com/cyclamentray/cyclamentray/workerapi"
)

// executeActions executes a run's actions. Each one runs in its own goroutine
// and posts its result to the loop as an event.
func (s *Scheduler) executeActions(ctx context.Context, t *trackedRun, actions []Action) {
	for _, a := range actions {
		if r, ok := a.(RecordState); ok {
			s.recordOutcome(t, r)
			r.FatalReason = t.fatalReason
			a = r
		}
		e := actionCall{s: s, gang: t.run.Gang, term: s.term, record: t.record, workers: t.run.Workers}
		s.ioCalls.Go(func() { e.execute(ctx, a) })
	}
}

// actionCall does the I/O of one action. It holds copies of the run's data, since
// the loop may change the run at the same time.
type actionCall struct {
	s       *Scheduler
	gang    workerapi.Gang
	term    uint64
	record  job.Record
	workers []string
}

func (e actionCall) postEvent(ctx context.Context, ev Event) {
	select {
	case e.s.events <- runEvent{gang: e.gang, term: e.term, event: ev}:
	case <-ctx.Done():
	}
}

func (e actionCall) execute(ctx context.Context, a Action) {
	ctx = telemetry.WithTraceParent(ctx, e.record.TraceParent)
	switch a := a.(type) {
	case RecordState:
		e.postEvent(ctx, e.writeState(ctx, a))
	case Reserve:
		e.postEvent(ctx, e.reserve(ctx, a))
	case Start:
		e.postEvent(ctx, e.start(ctx, a))
	case ListTasks:
		e.postEvent(ctx, e.listTasks(ctx, a))
	case Checkpoint:
		e.postEvent(ctx, e.checkpoint(ctx, a))
	case Stop:
		e.postEvent(ctx, e.stop(ctx, a))
	case Fence:
		e.postEvent(ctx, Fenced{OK: e.s.renewer.fenceGang(ctx, e.gang)})
	}
}

// callWorker calls a worker and tracks whether it answered.
func (e actionCall) callWorker(ctx context.Context, worker, path string, args, reply any) error {
	address, err := e.s.workerAddress(worker)
	if err == nil {
		err = e.s.o.Workers.Call(ctx, address, path, args, reply)
	}
	if ctx.Err() == nil {
		e.s.trackAnswer(worker, err == nil)
	}
	return err
}

func (s *Scheduler) trackAnswer(worker string, answered bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if answered {
		delete(s.unanswered, worker)
		return
	}
	s.unanswered[worker] = s.o.Now()
}

func (s *Scheduler) workerAddress(worker string) (string, error) {
	address, listed := findWorkerAddress(s.o, worker)
	if !listed {
		return "", apierr.New(apierr.Unavailable, "worker "+worker+" is not listed", "wait until the host list has it again")
	}
	return address, nil
}

func (e actionCall) reserve(ctx context.Context, a Reserve) Reserved {
	if err := e.s.permit.Check(e.s.o.Now(), e.term); err != nil {
		return Reserved{Worker: a.Worker, Code: workerapi.Refused, Reason: err.Error()}
	}
	req := workerapi.ReserveRequest{
		Term: e.term, Gang: e.gang, Tasks: a.Tasks, TTL: ReservationTTL,
		AcceleratorsPerTask: e.record.Spec.Shape.AcceleratorsPerTask,
	}
	var reply workerapi.ReserveReply
	if err := e.callWorker(ctx, a.Worker, workerapi.PathReserve, req, &reply); err != nil {
		return Reserved{Worker: a.Worker, Reason: err.Error()}
	}
	return Reserved{Worker: a.Worker, Code: reply.Code, Reason: reply.Reason}
}

// start checks the permit immediately before it sends the request.
func (e actionCall) start(ctx context.Context, a Start) Started {
	req := workerapi.StartRequest{
		Term: e.term, Gang: e.gang, Tasks: a.Tasks, Size: len(e.workers),
		Service: e.record.Spec.ID.Service, Template: e.record.Spec.Template,
		WorkerAddresses: e.workerAddresses(), Lease: LeaseDuration,
	}
	if err := e.s.permit.Check(e.s.o.Now(), e.term); err != nil {
		e.s.metrics.permitsRefused.Inc()
		return Started{Worker: a.Worker, Reason: err.Error()}
	}
	var reply workerapi.Reply
	if err := e.callWorker(ctx, a.Worker, workerapi.PathStart, req, &reply); err != nil {
		return Started{Worker: a.Worker, Sent: true, Reason: err.Error()}
	}
	return Started{Worker: a.Worker, Sent: true, Code: reply.Code, Reason: reply.Reason}
}

func (e actionCall) workerAddresses() []string {
	out := make([]string, len(e.workers))
	for i, w := range e.workers {
		out[i], _ = e.s.workerAddress(w)
	}
	return out
}

// listTasks lists a worker's tasks. Concurrent listings of one worker share one
// call.
func (e actionCall) listTasks(ctx context.Context, a ListTasks) TasksListed {
	tasks, err, _ := e.s.taskListings.Do(a.Worker, func() (any, error) {
		var reply workerapi.TasksReply
		err := e.callWorker(ctx, a.Worker, workerapi.PathTasks, nil, &reply)
		return reply.Tasks, err
	})
	listed := TasksListed{Worker: a.Worker, Answered: err == nil}
	if err == nil {
		listed.Tasks = tasks.([]workerapi.Task)
	}
	return listed
}

func (e actionCall) gangRequest(reason string) workerapi.GangRequest {
	return workerapi.GangRequest{Term: e.term, Gang: e.gang, Reason: reason}
}

func (e actionCall) checkpoint(ctx context.Context, a Checkpoint) Checkpointed {
	req := e.gangRequest("")
	req.Grace = a.Grace
	var reply workerapi.Reply
	err := e.callWorker(ctx, a.Worker, workerapi.PathCheckpoint, req, &reply)
	return Checkpointed{Worker: a.Worker, OK: err == nil && reply.Code == workerapi.OK}
}

// stop reports OK when the worker stopped the gang or does not know it.
func (e actionCall) stop(ctx context.Context, a Stop) Stopped {
	var reply workerapi.Reply
	err := e.callWorker(ctx, a.Worker, workerapi.PathStop, e.gangRequest(a.Reason), &reply)
	ok := err == nil && (reply.Code == workerapi.OK || reply.Code == workerapi.UnknownGang)
	return Stopped{Worker: a.Worker, OK: ok}
}
