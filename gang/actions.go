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
			s.countOutcome(t, r)
			r.FatalReason = t.fatalReason
			a = r
		}
		c := actionCall{s: s, gang: t.run.Gang, term: s.term, record: t.record, workers: t.run.Workers}
		s.ioCalls.Go(func() { c.execute(ctx, a) })
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

func (c actionCall) postEvent(ctx context.Context, ev Event) {
	select {
	case c.s.events <- runEvent{gang: c.gang, term: c.term, event: ev}:
	case <-ctx.Done():
	}
}

func (c actionCall) execute(ctx context.Context, a Action) {
	ctx = telemetry.WithTraceParent(ctx, c.record.TraceParent)
	switch a := a.(type) {
	case RecordState:
		c.postEvent(ctx, c.writeState(ctx, a))
	case Reserve:
		c.postEvent(ctx, c.reserve(ctx, a))
	case Start:
		c.postEvent(ctx, c.start(ctx, a))
	case ListTasks:
		c.postEvent(ctx, c.listTasks(ctx, a))
	case Checkpoint:
		c.postEvent(ctx, c.checkpoint(ctx, a))
	case Stop:
		c.postEvent(ctx, c.stop(ctx, a))
	case Fence:
		c.postEvent(ctx, Fenced{OK: c.s.renewer.fenceGang(ctx, c.gang)})
	}
}

// callWorker calls a worker and tracks whether it answered.
func (c actionCall) callWorker(ctx context.Context, worker, path string, args, reply any) error {
	address, err := c.s.workerAddress(worker)
	if err == nil {
		err = c.s.o.Workers.Call(ctx, address, path, args, reply)
	}
	if ctx.Err() == nil {
		c.s.trackAnswer(worker, err == nil)
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

func (c actionCall) reserve(ctx context.Context, a Reserve) Reserved {
	if err := c.s.permit.Check(c.s.o.Now(), c.term); err != nil {
		return Reserved{Worker: a.Worker, Code: workerapi.Refused, Reason: err.Error()}
	}
	req := workerapi.ReserveRequest{
		Term: c.term, Gang: c.gang, Tasks: a.Tasks, TTL: ReservationTTL,
		AcceleratorsPerTask: c.record.Spec.Shape.AcceleratorsPerTask,
	}
	var reply workerapi.ReserveReply
	if err := c.callWorker(ctx, a.Worker, workerapi.PathReserve, req, &reply); err != nil {
		return Reserved{Worker: a.Worker, Reason: err.Error()}
	}
	return Reserved{Worker: a.Worker, Code: reply.Code, Reason: reply.Reason}
}

// start checks the permit immediately before it sends the request.
func (c actionCall) start(ctx context.Context, a Start) Started {
	req := workerapi.StartRequest{
		Term: c.term, Gang: c.gang, Tasks: a.Tasks, Size: len(c.workers),
		Service: c.record.Spec.ID.Service, Template: c.record.Spec.Template,
		WorkerAddresses: c.workerAddresses(), Lease: LeaseDuration,
	}
	if err := c.s.permit.Check(c.s.o.Now(), c.term); err != nil {
		c.s.metrics.permitsRefused.Inc()
		return Started{Worker: a.Worker, Reason: err.Error()}
	}
	var reply workerapi.Reply
	if err := c.callWorker(ctx, a.Worker, workerapi.PathStart, req, &reply); err != nil {
		return Started{Worker: a.Worker, Sent: true, Reason: err.Error()}
	}
	return Started{Worker: a.Worker, Sent: true, Code: reply.Code, Reason: reply.Reason}
}

func (c actionCall) workerAddresses() []string {
	out := make([]string, len(c.workers))
	for i, w := range c.workers {
		out[i], _ = c.s.workerAddress(w)
	}
	return out
}

// listTasks lists a worker's tasks. Concurrent listings of one worker share one
// call.
func (c actionCall) listTasks(ctx context.Context, a ListTasks) TasksListed {
	tasks, err, _ := c.s.taskListings.Do(a.Worker, func() (any, error) {
		var reply workerapi.TasksReply
		err := c.callWorker(ctx, a.Worker, workerapi.PathTasks, nil, &reply)
		return reply.Tasks, err
	})
	listed := TasksListed{Worker: a.Worker, Answered: err == nil}
	if err == nil {
		listed.Tasks = tasks.([]workerapi.Task)
	}
	return listed
}

func (c actionCall) gangRequest(reason string) workerapi.GangRequest {
	return workerapi.GangRequest{Term: c.term, Gang: c.gang, Reason: reason}
}

func (c actionCall) checkpoint(ctx context.Context, a Checkpoint) Checkpointed {
	req := c.gangRequest("")
	req.Grace = a.Grace
	var reply workerapi.Reply
	err := c.callWorker(ctx, a.Worker, workerapi.PathCheckpoint, req, &reply)
	return Checkpointed{Worker: a.Worker, OK: err == nil && reply.Code == workerapi.OK}
}

// stop reports OK when the worker stopped the gang or does not know it.
func (c actionCall) stop(ctx context.Context, a Stop) Stopped {
	var reply workerapi.Reply
	err := c.callWorker(ctx, a.Worker, workerapi.PathStop, c.gangRequest(a.Reason), &reply)
	ok := err == nil && (reply.Code == workerapi.OK || reply.Code == workerapi.UnknownGang)
	return Stopped{Worker: a.Worker, OK: ok}
}
