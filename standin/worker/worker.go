// Package worker is a stand-in for the platform's workers. It keeps reservations
// until their TTL ends, runs tasks until they finish or their lease lapses, and
// refuses messages under older terms. A Server holds its reservations and tasks
// and the newest term. Tests, the dev command and the standin command use it.
package worker

import (
	"sort"
	"strconv"
	"sync"
	"time"

	"github.com/cyclamentray/cyclamentray/workerapi"
)

// DefaultRetention is how long Tasks lists a task after its end.
const DefaultRetention = 10 * time.Minute

// Options configures a stand-in worker.
type Options struct {
	Name         string
	Accelerators int
	Now          func() time.Time // nil: time.Now
	// RunTime returns how long a task runs; nil or a result of 0: until stopped.
	RunTime func(gang workerapi.Gang, index int) time.Duration
	// Fail reports whether a task fails as soon as it starts; nil: none does.
	Fail func(gang workerapi.Gang, index int) bool
	// BeforeMessage, if set, is called before each message is handled; on an
	// error the message has no effect and the connection is closed.
	BeforeMessage func(path string) error
	// AfterMessage, if set, is called after each message has taken effect; on
	// an error the connection is closed without an answer.
	AfterMessage func(path string) error
	Retention    time.Duration // 0: DefaultRetention
}

type taskKey struct {
	gang  workerapi.Gang
	index int
}

type task struct {
	workerapi.Task
	expiresAt time.Time // of the reservation or the lease
	finishAt  time.Time // zero: runs until stopped
	endedAt   time.Time
}

// Server is a stand-in worker. It is safe for concurrent use. It has no timers:
// before it handles a message, it ends the tasks and reservations that finished
// or lapsed by Options.Now.
type Server struct {
	mu                 sync.Mutex
	opts               Options
	incarnation        int
	term               uint64
	tasks              map[taskKey]*task
	stoppedGenerations map[string]uint64 // by job, the newest generation that was stopped
}

// New returns a worker that runs nothing.
func New(o Options) *Server {
	if o.Now == nil {
		o.Now = time.Now
	}
	if o.Retention == 0 {
		o.Retention = DefaultRetention
	}
	return &Server{opts: o, incarnation: 1, tasks: make(map[taskKey]*task), stoppedGenerations: make(map[string]uint64)}
}

// Restart drops all tasks and reservations and starts a new incarnation.
func (s *Server) Restart() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.incarnation++
	s.tasks = make(map[taskKey]*task)
	s.stoppedGenerations = make(map[string]uint64)
}

// Tasks lists the worker's reserved, running and ended tasks, ordered by gang and
// index.
func (s *Server) Tasks() workerapi.TasksReply {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.endLapsed()
	reply := workerapi.TasksReply{
		Worker:       s.opts.Name,
		Incarnation:  strconv.Itoa(s.incarnation),
		Term:         s.term,
		Accelerators: s.opts.Accelerators,
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

// endLapsed ends tasks that have finished or whose lease has lapsed, and drops
// lapsed reservations and tasks past their retention. The caller holds mu.
func (s *Server) endLapsed() {
	now := s.opts.Now()
	for key, t := range s.tasks {
		switch t.State {
		case workerapi.TaskReserved:
			if !now.Before(t.expiresAt) {
				delete(s.tasks, key)
			}
		case workerapi.TaskRunning:
			t.endIfLapsed(now)
		default:
			if now.Sub(t.endedAt) >= s.opts.Retention {
				delete(s.tasks, key)
			}
		}
	}
}

// endIfLapsed ends a running task at its finish or at the end of its lease,
// whichever came first, if that is past.
func (t *task) endIfLapsed(now time.Time) {
	finishes := !t.finishAt.IsZero() && !t.finishAt.After(t.expiresAt)
	switch {
	case finishes && !now.Before(t.finishAt):
		t.end(workerapi.TaskFinished, "", t.finishAt)
	case !now.Before(t.expiresAt):
		t.end(workerapi.TaskStopped, "lease lapsed", t.expiresAt)
	}
}

func (t *task) end(state workerapi.TaskState, reason string, at time.Time) {
	t.State = state
	t.Reason = reason
	t.endedAt = at
}

// acceptTerm records the term of a message. It reports false if a newer term has
// been seen. The caller holds mu.
func (s *Server) acceptTerm(term uint64) bool {
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
	s.endLapsed()
	if !s.acceptTerm(r.Term) {
		return workerapi.ReserveReply{Code: workerapi.StaleTerm, Reason: "a newer scheduler has been heard from"}
	}
	if r.Gang.Generation <= s.stoppedGenerations[r.Gang.Job] {
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
	if used+len(r.Tasks)*r.AcceleratorsPerTask > s.opts.Accelerators {
		return workerapi.ReserveReply{Code: workerapi.NoCapacity, Reason: "too few free accelerators"}
	}
	expires := s.opts.Now().Add(r.TTL)
	for _, index := range r.Tasks {
		s.tasks[taskKey{r.Gang, index}] = &task{expiresAt: expires, Task: workerapi.Task{
			Gang: r.Gang, Index: index, Accelerators: r.AcceleratorsPerTask, State: workerapi.TaskReserved,
		}}
	}
	return workerapi.ReserveReply{Code: workerapi.OK}
}

// Start runs reserved tasks under a lease, all of them or none.
func (s *Server) Start(r workerapi.StartRequest) workerapi.Reply {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.endLapsed()
	if !s.acceptTerm(r.Term) {
		return workerapi.Reply{Code: workerapi.StaleTerm, Reason: "a newer scheduler has been heard from"}
	}
	for _, index := range r.Tasks {
		t := s.tasks[taskKey{r.Gang, index}]
		if t == nil || (t.State != workerapi.TaskReserved && t.State != workerapi.TaskRunning) {
			return workerapi.Reply{Code: workerapi.NoReservation, Reason: "no reservation, or it has lapsed"}
		}
	}
	now := s.opts.Now()
	for _, index := range r.Tasks {
		s.startTask(s.tasks[taskKey{r.Gang, index}], r, now)
	}
	return workerapi.Reply{Code: workerapi.OK}
}

func (s *Server) startTask(t *task, r workerapi.StartRequest, now time.Time) {
	if t.State == workerapi.TaskRunning {
		return
	}
	t.State = workerapi.TaskRunning
	t.GangTasks = r.Size
	t.expiresAt = now.Add(r.Lease)
	if s.opts.RunTime != nil {
		t.finishAt = finishTime(now, s.opts.RunTime(r.Gang, t.Index))
	}
	if s.opts.Fail != nil && s.opts.Fail(r.Gang, t.Index) {
		t.end(workerapi.TaskFailed, "the task failed at its start", now)
	}
}

// Renew extends the leases of gangs that run here. Gangs that don't run here, or
// of which a task failed or was stopped, are reported as missing. A lease of 0
// extends nothing and only asks which gangs run.
func (s *Server) Renew(r workerapi.RenewRequest) workerapi.RenewReply {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.endLapsed()
	var reply workerapi.RenewReply
	for _, gang := range r.Gangs {
		if s.renewGang(gang, r.Lease) {
			continue
		}
		reply.Missing = append(reply.Missing, gang)
		reply.Ended = append(reply.Ended, s.endedTasks(gang)...)
	}
	return reply
}

func (s *Server) renewGang(gang workerapi.Gang, lease time.Duration) bool {
	found := false
	expires := s.opts.Now().Add(lease)
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
			t.expiresAt = expires
		}
	}
	return found
}

func (s *Server) endedTasks(gang workerapi.Gang) []workerapi.Task {
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
	return s.updateGang(r, func(key taskKey, t *task, _ time.Time) {
		if t.State == workerapi.TaskReserved {
			delete(s.tasks, key)
		}
	})
}

// Checkpoint sets the checkpoint time of a gang's running tasks to now.
func (s *Server) Checkpoint(r workerapi.GangRequest) workerapi.Reply {
	return s.updateGang(r, func(_ taskKey, t *task, now time.Time) {
		if t.State == workerapi.TaskRunning {
			t.Checkpointed = now
		}
	})
}

// Stop ends a gang's tasks. Later reservations for its generation or older ones
// are refused.
func (s *Server) Stop(r workerapi.GangRequest) workerapi.Reply {
	reply := s.updateGang(r, func(key taskKey, t *task, now time.Time) {
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
	s.stoppedGenerations[r.Gang.Job] = max(s.stoppedGenerations[r.Gang.Job], r.Gang.Generation)
	return reply
}

func (s *Server) updateGang(r workerapi.GangRequest, act func(taskKey, *task, time.Time)) workerapi.Reply {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.endLapsed()
	if !s.acceptTerm(r.Term) {
		return workerapi.Reply{Code: workerapi.StaleTerm, Reason: "a newer scheduler has been heard from"}
	}
	found := false
	now := s.opts.Now()
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

// finishTime returns when a task that starts now finishes; zero: it runs until
// stopped.
func finishTime(now time.Time, run time.Duration) time.Time {
	if run == 0 {
		return time.Time{}
	}
	return now.Add(run)
}
