// Package worker is a stand-in for the platform's workers, for tests and the
// dev command. It holds reservations for a short time, runs tasks under leases
// that end them when they lapse, and refuses messages under older terms.
package worker

import (
	"sort"
	"strconv"
	"sync"
	"time"

	"github.com/cyclamentray/cyclamentray/workerapi"
)

// DefaultRetention is how long ended tasks are listed.
const DefaultRetention = 10 * time.Minute

// Options configures a stand-in worker.
type Options struct {
	Name         string
	Accelerators int
	Now          func() time.Time // nil: time.Now
	// RunTime tells how long a task runs; nil or an answer of 0: until stopped.
	RunTime func(gang workerapi.Gang, index int) time.Duration
	// Fail tells whether a task fails as soon as it starts; nil: none does.
	Fail func(gang workerapi.Gang, index int) bool
	// BeforeMessage runs before each message is handled; an error loses the message.
	BeforeMessage func(path string) error
	// AfterMessage runs after each message took effect; an error loses the answer.
	AfterMessage func(path string) error
	Retention    time.Duration // 0: DefaultRetention
}

type taskKey struct {
	gang  workerapi.Gang
	index int
}

type task struct {
	workerapi.Task
	expires time.Time // of the reservation or the lease
	finish  time.Time // zero: runs until stopped
	ended   time.Time
}

// Server is a stand-in worker. It is safe for concurrent use. Time passes only
// by Options.Now: what lapsed is settled, in order, before each message.
type Server struct {
	mu          sync.Mutex
	o           Options
	incarnation int
	term        uint64
	tasks       map[taskKey]*task
	stopped     map[string]uint64 // job to the newest generation told to stop
}

// New returns a worker that runs nothing.
func New(o Options) *Server {
	if o.Now == nil {
		o.Now = time.Now
	}
	if o.Retention == 0 {
		o.Retention = DefaultRetention
	}
	return &Server{o: o, incarnation: 1, tasks: make(map[taskKey]*task), stopped: make(map[string]uint64)}
}

// Restart loses every task and starts a new incarnation.
func (s *Server) Restart() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.incarnation++
	s.tasks = make(map[taskKey]*task)
	s.stopped = make(map[string]uint64)
}

// Tasks lists what the worker holds, ordered by gang and index.
func (s *Server) Tasks() workerapi.TasksReply {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.settle()
	reply := workerapi.TasksReply{
		Worker:       s.o.Name,
		Incarnation:  strconv.Itoa(s.incarnation),
		Term:         s.term,
		Accelerators: s.o.Accelerators,
	}
	for _, t := range s.tasks {
		reply.Tasks = append(reply.Tasks, t.Task)
	}
	sortTasks(reply.Tasks)
	return reply
}

func sortTasks(tasks []workerapi.Task) {
	sort.Slice(tasks, func(i, j int) bool {
		a, b := tasks[i], tasks[j]
		if a.Gang.Job != b.Gang.Job {
			return a.Gang.Job < b.Gang.Job
		}
		if a.Gang.Generation != b.Gang.Generation {
			return a.Gang.Generation < b.Gang.Generation
		}
		return a.Index < b.Index
	})
}

// settle ends what has finished or lapsed by now. The caller holds mu.
func (s *Server) settle() {
	now := s.o.Now()
	for key, t := range s.tasks {
		switch t.State {
		case workerapi.TaskReserved:
			if !now.Before(t.expires) {
				delete(s.tasks, key)
			}
		case workerapi.TaskRunning:
			t.settle(now)
		default:
			if now.Sub(t.ended) >= s.o.Retention {
				delete(s.tasks, key)
			}
		}
	}
}

// settle ends a running task at whichever came first, its finish or its lease's end.
func (t *task) settle(now time.Time) {
	finishes := !t.finish.IsZero() && !t.finish.After(t.expires)
	switch {
	case finishes && !now.Before(t.finish):
		t.end(workerapi.TaskFinished, "", t.finish)
	case !now.Before(t.expires):
		t.end(workerapi.TaskStopped, "lease lapsed", t.expires)
	}
}

func (t *task) end(state workerapi.TaskState, reason string, at time.Time) {
	t.State = state
	t.Reason = reason
	t.ended = at
}

// admit notes a message's term and refuses older ones. The caller holds mu.
func (s *Server) admit(term uint64) bool {
	if term < s.term {
		return false
	}
	s.term = term
	return true
}

// Reserve holds accelerators for tasks of a gang, all of them or none.
func (s *Server) Reserve(r workerapi.ReserveRequest) workerapi.ReserveReply {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.settle()
	if !s.admit(r.Term) {
		return workerapi.ReserveReply{Code: workerapi.StaleTerm, Reason: "a newer scheduler has been heard from"}
	}
	if r.Gang.Generation <= s.stopped[r.Gang.Job] {
		return workerapi.ReserveReply{Code: workerapi.Refused, Reason: "the gang was told to stop"}
	}
	used := 0
	for key, t := range s.tasks {
		live := t.State == workerapi.TaskReserved || t.State == workerapi.TaskRunning
		if live && key.gang.Job == r.Gang.Job && t.State == workerapi.TaskRunning {
			return workerapi.ReserveReply{Code: workerapi.Refused, Reason: "the job already runs here"}
		}
		if live && key.gang != r.Gang {
			used += t.Accelerators
		}
	}
	if used+len(r.Tasks)*r.AcceleratorsPerTask > s.o.Accelerators {
		return workerapi.ReserveReply{Code: workerapi.NoCapacity, Reason: "too few free accelerators"}
	}
	expires := s.o.Now().Add(r.TTL)
	for _, index := range r.Tasks {
		s.tasks[taskKey{r.Gang, index}] = &task{expires: expires, Task: workerapi.Task{
			Gang: r.Gang, Index: index, Accelerators: r.AcceleratorsPerTask, State: workerapi.TaskReserved,
		}}
	}
	return workerapi.ReserveReply{Code: workerapi.OK}
}

// Start runs reserved tasks under a lease, all of them or none.
func (s *Server) Start(r workerapi.StartRequest) workerapi.Reply {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.settle()
	if !s.admit(r.Term) {
		return workerapi.Reply{Code: workerapi.StaleTerm, Reason: "a newer scheduler has been heard from"}
	}
	for _, index := range r.Tasks {
		t := s.tasks[taskKey{r.Gang, index}]
		if t == nil || (t.State != workerapi.TaskReserved && t.State != workerapi.TaskRunning) {
			return workerapi.Reply{Code: workerapi.NoReservation, Reason: "no reservation, or it has lapsed"}
		}
	}
	now := s.o.Now()
	for _, index := range r.Tasks {
		s.run(s.tasks[taskKey{r.Gang, index}], r, now)
	}
	return workerapi.Reply{Code: workerapi.OK}
}

func (s *Server) run(t *task, r workerapi.StartRequest, now time.Time) {
	if t.State == workerapi.TaskRunning {
		return
	}
	t.State = workerapi.TaskRunning
	t.GangTasks = r.Size
	t.expires = now.Add(r.Lease)
	if s.o.RunTime != nil {
		t.finish = finishOf(now, s.o.RunTime(r.Gang, t.Index))
	}
	if s.o.Fail != nil && s.o.Fail(r.Gang, t.Index) {
		t.end(workerapi.TaskFailed, "the task failed at its start", now)
	}
}

// Renew extends the leases of the gangs that run here, none of whose tasks failed.
func (s *Server) Renew(r workerapi.RenewRequest) workerapi.RenewReply {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.settle()
	var reply workerapi.RenewReply
	for _, gang := range r.Gangs {
		if s.renew(gang, r.Lease) {
			continue
		}
		reply.Missing = append(reply.Missing, gang)
		reply.Ended = append(reply.Ended, s.ended(gang)...)
	}
	return reply
}

func (s *Server) renew(gang workerapi.Gang, lease time.Duration) bool {
	found := false
	expires := s.o.Now().Add(lease)
	for key, t := range s.tasks {
		if key.gang != gang {
			continue
		}
		if t.State == workerapi.TaskFailed || t.State == workerapi.TaskStopped {
			return false
		}
		found = found || t.State == workerapi.TaskRunning
	}
	for key, t := range s.tasks {
		if key.gang == gang && t.State == workerapi.TaskRunning && lease > 0 {
			t.expires = expires
		}
	}
	return found
}

func (s *Server) ended(gang workerapi.Gang) []workerapi.Task {
	var out []workerapi.Task
	for key, t := range s.tasks {
		if key.gang == gang && t.State != workerapi.TaskReserved {
			out = append(out, t.Task)
		}
	}
	sortTasks(out)
	return out
}

// Release drops a gang's reservations.
func (s *Server) Release(r workerapi.GangRequest) workerapi.Reply {
	return s.onGang(r, func(key taskKey, t *task, _ time.Time) {
		if t.State == workerapi.TaskReserved {
			delete(s.tasks, key)
		}
	})
}

// Checkpoint saves the work of a gang's running tasks.
func (s *Server) Checkpoint(r workerapi.GangRequest) workerapi.Reply {
	return s.onGang(r, func(_ taskKey, t *task, now time.Time) {
		if t.State == workerapi.TaskRunning {
			t.Checkpointed = now
		}
	})
}

// Stop ends a gang's tasks and refuses the generation from then on.
func (s *Server) Stop(r workerapi.GangRequest) workerapi.Reply {
	reply := s.onGang(r, func(key taskKey, t *task, now time.Time) {
		switch t.State {
		case workerapi.TaskReserved:
			delete(s.tasks, key)
		case workerapi.TaskRunning:
			t.end(workerapi.TaskStopped, r.Reason, now)
		}
	})
	if reply.Code == workerapi.StaleTerm {
		return reply
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.stopped[r.Gang.Job] = max(s.stopped[r.Gang.Job], r.Gang.Generation)
	return reply
}

func (s *Server) onGang(r workerapi.GangRequest, act func(taskKey, *task, time.Time)) workerapi.Reply {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.settle()
	if !s.admit(r.Term) {
		return workerapi.Reply{Code: workerapi.StaleTerm, Reason: "a newer scheduler has been heard from"}
	}
	found := false
	now := s.o.Now()
	for key, t := range s.tasks {
		if key.gang == r.Gang {
			found = true
			act(key, t, now)
		}
	}
	if !found {
		return workerapi.Reply{Code: workerapi.UnknownGang}
	}
	return workerapi.Reply{Code: workerapi.OK}
}

// finishOf returns when a task that starts now ends by itself; zero: never.
func finishOf(now time.Time, run time.Duration) time.Time {
	if run == 0 {
		return time.Time{}
	}
	return now.Add(run)
}
