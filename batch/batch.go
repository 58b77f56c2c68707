// Package batch holds the model of batch jobs: steps of tasks that depend on
// one another and run on a service's runners, and the configuration they run
// under. It has no behaviour beyond its own invariants.
package batch

import (
	"slices"
	"strings"
	"time"
)

// Resources are what a task asks for and what a runner offers.
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

// Step is a number of equal tasks.
type Step struct {
	Tasks             int           `json:"tasks"`
	Request           Resources     `json:"request"` // of one task
	Estimate          time.Duration `json:"estimate,omitempty"`
	After             []int         `json:"after,omitempty"` // earlier steps that must be done first
	Checkpoints       bool          `json:"checkpoints,omitempty"`
	Gang              bool          `json:"gang,omitempty"`        // the tasks run at the same time or not at all
	SameRack          bool          `json:"sameRack,omitempty"`    // slow when spread over racks
	Label             string        `json:"label,omitempty"`       // a label that the runner must have
	DataRack          string        `json:"dataRack,omitempty"`    // slow on any other rack
	PerRunner         int           `json:"perRunner,omitempty"`   // most tasks of the step on one runner; 0: no limit
	Speculative       bool          `json:"speculative,omitempty"` // copies may run in parallel
	LongRunning       bool          `json:"longRunning,omitempty"` // runs until the job is cancelled
	UsesIdleCPU       bool          `json:"fills,omitempty"`       // uses the CPU that others leave
	TailLatencyTarget time.Duration `json:"tailTarget,omitempty"`  // of the response times of a step that serves users; 0: it serves none
	MaxUnavailable    int           `json:"mayMiss,omitempty"`     // most tasks away at once by our own doing
}

// ReservedResources returns what one task takes of its runner's capacity: a filler's CPU is
// what others leave.
func (s *Step) ReservedResources() Resources {
	r := s.Request
	if s.UsesIdleCPU {
		r.MilliCPU = 0
	}
	return r
}

// ServesUsers reports whether the step's tasks serve users.
func (s *Step) ServesUsers() bool { return s.TailLatencyTarget > 0 }

// Schedule says when a job's steps run; without one they run once, at once.
type Schedule struct {
	Occurrences int           `json:"occurrences"`
	First       time.Time     `json:"first"`
	Interval    time.Duration `json:"interval"`
}

// AdviceTimes is how an adviser answers that says which runners may run a step.
type AdviceTimes struct {
	DecisionTime   time.Duration `json:"decide"` // it takes for one question
	TimePerRunner  time.Duration `json:"each"`   // and for each runner named
	TicketValidity time.Duration `json:"valid"`  // how long a ticket is valid
}

// Approval is an adviser's answer.
type Approval struct {
	Tickets map[string]string // by runner; one that is missing may not run the step
	Valid   time.Duration
}

// Job is an accepted job. It doesn't change after it was accepted.
type Job struct {
	ID            string        `json:"id"`
	Queue         string        `json:"queue"`
	Organisation  string        `json:"organisation"`
	Service       string        `json:"service"`
	Spec          string        `json:"spec"`
	Priority      int           `json:"priority"` // 0 comes first
	MaxAttempts   int           `json:"maxAttempts"`
	Stretch       float64       `json:"stretch"` // target completion time over the longest chain of work
	TargetLatency time.Duration `json:"targetLatency"`
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

// Due returns when occurrence k may start.
func (j *Job) Due(k int) time.Time {
	if j.Schedule == nil {
		return time.Time{}
	}
	return j.Schedule.First.Add(time.Duration(k) * j.Schedule.Interval)
}

// MaxAccelerators returns the most accelerators that the job's steps hold at once
// if every step runs by itself.
func (j *Job) MaxAccelerators() int64 {
	var most int64
	for _, s := range j.Steps {
		most = max(most, int64(s.Tasks)*s.Request.Accelerators)
	}
	return most
}

// State of a job, as callers see it.
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

// TaskID names one task of a job.
type TaskID struct {
	Job        string
	Occurrence int
	Step       int
	Index      int
}

// TaskProgress is what is recorded of one task.
type TaskProgress struct {
	Occurrence int    `json:"k,omitempty"`
	Step       int    `json:"s,omitempty"`
	Index      int    `json:"i,omitempty"`
	Done       bool   `json:"d,omitempty"`
	Failures   int    `json:"f,omitempty"`
	Attempt    int    `json:"a,omitempty"` // the highest attempt that may have started
	Runner     string `json:"r,omitempty"` // where that attempt may run; empty: it has ended
	Checkpoint string `json:"c,omitempty"`
}

// Progress is the record of a job that the scheduler keeps in the store.
type Progress struct {
	State State          `json:"state"`
	Tasks []TaskProgress `json:"tasks,omitempty"` // only tasks with something to tell
}

// Queue takes jobs under one host name and path prefix.
type Queue struct {
	Name          string
	Host          string
	Prefix        string
	Service       string
	Priority      int
	MaxAttempts   int
	Stretch       float64
	TargetLatency time.Duration
	Public        bool
	Advice        *AdviceTimes // nil: its jobs need none
}

// Service is a pool of runners.
type Service struct {
	Name             string
	AdmissionControl bool // its runners refuse what doesn't fit
	Standby          bool
}

// Organisation holds keys and a guarantee.
type Organisation struct {
	Name       string
	Keys       []string
	Guaranteed Resources
}

// Configuration is one version of what operators have set, whole.
type Configuration struct {
	Version       int64
	Revision      uint64 // of the store's entry
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
	Born           int64 // Unix milliseconds of its start; names its incarnation
}

// EndReason says how a run ended.
type EndReason string

// The ends of a run.
const (
	EndDone            EndReason = "done"
	EndFailed          EndReason = "failed"
	EndStopped         EndReason = "stopped"
	EndLeaseExpired    EndReason = "lapsed" // its lease ran out
	EndGangMemberEnded EndReason = "broken" // another member of its gang ended
	EndGangTimeout     EndReason = "alone"  // its gang did not come together in time
)

// RunningTask is one row of a runner's list of what it runs.
type RunningTask struct {
	Task       TaskID
	Attempt    int
	Checkpoint string
	Percent    int
	Reading    int // tail latency in ms for a task that serves, thousandths of a core in use otherwise
}

// EndedTask is one row of a runner's list of ends that were not acknowledged.
type EndedTask struct {
	Sequence   int64
	Task       TaskID
	Attempt    int
	Reason     EndReason
	Checkpoint string
}

// Report is a runner's answer to a hold.
type Report struct {
	Born    int64
	Clock   time.Duration // of the runner, since its start
	Running []RunningTask
	Ended   []EndedTask
}
