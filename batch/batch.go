// Package batch defines the data model of batch jobs, shared by intake,
// scheduling, storage and the platform adapter: jobs whose steps depend on one
// another and whose tasks run on the runners of a service, what runners report,
// and the configuration in force. It holds no state of its own.
package batch

import (
	"slices"
	"strings"
	"time"
)

// Resources are the resources that a task requests or that a runner offers.
type Resources struct {
	MilliCPU     int64 `json:"cpu,omitempty"`    // thousandths of a core
	MemoryMB     int64 `json:"memory,omitempty"` // megabytes
	Accelerators int64 `json:"accelerators,omitempty"`
}

// Plus returns the sum of r and o.
func (r Resources) Plus(o Resources) Resources {
	return Resources{r.MilliCPU + o.MilliCPU, r.MemoryMB + o.MemoryMB, r.Accelerators + o.Accelerators}
}

// Minus returns r less o.
func (r Resources) Minus(o Resources) Resources {
	return Resources{r.MilliCPU - o.MilliCPU, r.MemoryMB - o.MemoryMB, r.Accelerators - o.Accelerators}
}

// Fits reports whether r is within free.
func (r Resources) Fits(free Resources) bool {
	return r.MilliCPU <= free.MilliCPU && r.MemoryMB <= free.MemoryMB && r.Accelerators <= free.Accelerators
}

// Step is a group of identical tasks of a job.
type Step struct {
	Tasks             int           `json:"tasks"`
	Request           Resources     `json:"request"`            // of one task
	Estimate          time.Duration `json:"estimate,omitempty"` // declared duration of one task
	After             []int         `json:"after,omitempty"`    // indexes of earlier steps that must be done first
	Checkpoints       bool          `json:"checkpoints,omitempty"`
	Gang              bool          `json:"gang,omitempty"`        // all tasks run at the same time or none runs
	SameRack          bool          `json:"sameRack,omitempty"`    // the step is slower when its tasks are spread over racks
	Label             string        `json:"label,omitempty"`       // label that the runner must have
	DataRack          string        `json:"dataRack,omitempty"`    // rack of the input data; tasks are slower on any other rack
	PerRunner         int           `json:"perRunner,omitempty"`   // maximum number of the step's tasks on one runner; 0: no limit
	Speculative       bool          `json:"speculative,omitempty"` // copies of a task may run in parallel
	LongRunning       bool          `json:"longRunning,omitempty"` // runs until the job is cancelled
	UsesIdleCPU       bool          `json:"fills,omitempty"`       // tasks reserve no CPU and use what other tasks leave idle
	TailLatencyTarget time.Duration `json:"tailTarget,omitempty"`  // target for the tail of response times of a step that serves users; 0: it serves none
	MaxUnavailable    int           `json:"mayMiss,omitempty"`     // maximum number of tasks that the scheduler itself may make unavailable at once
}

// ReservedResources returns what one task takes of its runner's capacity. A
// task that uses idle CPU reserves no CPU.
func (s *Step) ReservedResources() Resources {
	r := s.Request
	if s.UsesIdleCPU {
		r.MilliCPU = 0
	}
	return r
}

// ServesUsers reports whether the step's tasks serve users.
func (s *Step) ServesUsers() bool { return s.TailLatencyTarget > 0 }

// Schedule says when a job's steps run. Without a schedule they run once and
// may start immediately.
type Schedule struct {
	Occurrences int           `json:"occurrences"`
	First       time.Time     `json:"first"`    // from which the first occurrence may start
	Interval    time.Duration `json:"interval"` // between the due times of two occurrences
}

// AdviceTimes holds how long the adviser is expected to take for an answer, and how
// long its tickets are valid. The adviser decides which runners may run a step.
type AdviceTimes struct {
	DecisionTime   time.Duration `json:"decide"` // time to answer one question
	TimePerRunner  time.Duration `json:"each"`   // added for each runner named in the question
	TicketValidity time.Duration `json:"valid"`  // lifetime of a ticket
}

// Approval is the adviser's answer to a question.
type Approval struct {
	Tickets map[string]string // by runner ID; a runner without a ticket may not run the step
	Valid   time.Duration     // lifetime of the tickets, from when the question was sent
}

// Job is an accepted job. It is immutable.
type Job struct {
	ID            string        `json:"id"`
	Queue         string        `json:"queue"`
	Organisation  string        `json:"organisation"`
	Service       string        `json:"service"`
	Spec          string        `json:"spec"`
	Priority      int           `json:"priority"` // 0 is the highest
	MaxAttempts   int           `json:"maxAttempts"`
	Stretch       float64       `json:"stretch"`       // target completion time as a multiple of the longest chain of work
	TargetLatency time.Duration `json:"targetLatency"` // added to the target completion time
	Steps         []Step        `json:"steps"`
	Schedule      *Schedule     `json:"schedule,omitempty"`
	Advice        *AdviceTimes  `json:"advice,omitempty"` // nil: every runner of the service may run its steps
	Accepted      time.Time     `json:"accepted"`
}

// Occurrences returns how often the steps run.
func (j *Job) Occurrences() int {
	if j.Schedule == nil {
		return 1
	}
	return j.Schedule.Occurrences
}

// Due returns the time from which occurrence k may start; zero: at once.
func (j *Job) Due(k int) time.Time {
	if j.Schedule == nil {
		return time.Time{}
	}
	return j.Schedule.First.Add(time.Duration(k) * j.Schedule.Interval)
}

// MaxAccelerators returns the largest number of accelerators that any one step
// of the job uses when all its tasks run at once.
func (j *Job) MaxAccelerators() int64 {
	var most int64
	for _, s := range j.Steps {
		most = max(most, int64(s.Tasks)*s.Request.Accelerators)
	}
	return most
}

// State is the state of a job, as callers see it.
type State string

// The states of a job.
const (
	Queued    State = "queued"
	Running   State = "running"
	Completed State = "completed"
	Failed    State = "failed"
	Cancelled State = "cancelled"
)

// Final reports whether a job in this state has ended.
func (s State) Final() bool { return s == Completed || s == Failed || s == Cancelled }

// TaskID identifies one task of a job.
type TaskID struct {
	Job        string
	Occurrence int
	Step       int
	Index      int
}

// TaskProgress is the recorded progress of one task.
type TaskProgress struct {
	Occurrence int    `json:"k,omitempty"`
	Step       int    `json:"s,omitempty"`
	Index      int    `json:"i,omitempty"`
	Done       bool   `json:"d,omitempty"`
	Failures   int    `json:"f,omitempty"`
	Failed     []int  `json:"fa,omitempty"` // the attempts that are counted in Failures; none for long-running tasks
	Attempt    int    `json:"a,omitempty"`  // highest attempt that may have started
	Runner     string `json:"r,omitempty"`  // runner on which that attempt may be running; empty: it has ended
	Open       bool   `json:"o,omitempty"`  // its start may be under way: it isn't answered, or not known to be
	SentOnce   bool   `json:"n,omitempty"`  // its start, which may be under way, was sent once at most
	OpenMillis int64  `json:"om,omitempty"` // how long before the record was written it was last sent, at least; 0: it may be sent any time
	RunAttempt int    `json:"ra,omitempty"` // the attempt that may be running, if it is an earlier one
	Checkpoint string `json:"c,omitempty"`
}

// Progress is the record of a job's progress that the scheduler keeps in the
// store.
type Progress struct {
	State State          `json:"state"`
	Tasks []TaskProgress `json:"tasks,omitempty"` // only tasks that were attempted or are done
	// Incarnations holds, by runner, the earliest incarnation that one of the running attempts
	// was meant for, as far as it is known.
	Incarnations map[string]int64 `json:"born,omitempty"`
}

// Queue accepts jobs under one host name and path prefix.
type Queue struct {
	Name          string
	Host          string
	Prefix        string
	Service       string
	Priority      int
	MaxAttempts   int
	Stretch       float64
	TargetLatency time.Duration
	Public        bool         // accepts jobs without the key of an organisation
	Advice        *AdviceTimes // nil: its jobs need no approval
}

// Service is a pool of runners.
type Service struct {
	Name             string
	AdmissionControl bool // its runners refuse tasks that exceed their free capacity
	Standby          bool
}

// Organisation owns API keys and has guaranteed resources.
type Organisation struct {
	Name       string
	Keys       []string
	Guaranteed Resources
}

// Configuration is one complete version of the operators' configuration.
type Configuration struct {
	Version       int64
	Revision      uint64 // of its entry in the store
	Queues        []Queue
	Services      []Service
	Organisations []Organisation
	MaxBodyBytes  int64
}

// QueueFor returns the queue with the longest prefix of path under host.
func (c *Configuration) QueueFor(host, path string) (Queue, bool) {
	var best Queue
	found := false
	for _, q := range c.Queues {
		if q.Host != host || !strings.HasPrefix(path, q.Prefix) {
			continue
		}
		if !found || len(q.Prefix) > len(best.Prefix) {
			best, found = q, true
		}
	}
	return best, found
}

// OrganisationFor returns the organisation that holds key.
func (c *Configuration) OrganisationFor(key string) (Organisation, bool) {
	for _, o := range c.Organisations {
		if slices.Contains(o.Keys, key) {
			return o, true
		}
	}
	return Organisation{}, false
}

// Runner is what a runner reports about itself.
type Runner struct {
	ID             string
	Address        string
	Service        string
	FailureDomain  string
	Capacity       Resources
	Kind           string
	Rack           string
	Labels         []string
	Draining       bool
	DrainRemaining time.Duration
	Born           int64 // start time in Unix milliseconds; identifies the incarnation
}

// EndReason says why a run, which is one attempt of a task, ended.
type EndReason string

// The reasons for which a run ends.
const (
	EndDone            EndReason = "done"
	EndFailed          EndReason = "failed"
	EndStopped         EndReason = "stopped"
	EndLeaseExpired    EndReason = "lapsed" // the runner's lease expired
	EndGangMemberEnded EndReason = "broken" // another member of the gang ended
	EndGangTimeout     EndReason = "alone"  // the gang was not complete in time
)

// RunningTask is an entry of a runner's list of running tasks.
type RunningTask struct {
	Task       TaskID
	Attempt    int
	Checkpoint string
	Percent    int
	Reading    int // tail latency in ms for a task that serves users; CPU use in thousandths of a core for others
}

// EndedTask is an entry of a runner's list of ended runs that the leader has not
// acknowledged.
type EndedTask struct {
	Sequence   int64
	Task       TaskID
	Attempt    int
	Reason     EndReason
	Checkpoint string
}

// Report is a runner's answer to a hold, the call that extends its lease.
type Report struct {
	Born    int64
	Clock   time.Duration // the runner's clock: time since its start
	Running []RunningTask
	Ended   []EndedTask // in order of their sequence numbers

	// EndsTruncated says that more ends may wait at the runner than Ended lists. A
	// run in neither list may then have ended.
	EndsTruncated bool
}
