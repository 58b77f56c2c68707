package soak

import (
	"fmt"
	"sync"
	"time"

	"github.com/cyclamentray/cyclamentray/batch"
	"github.com/cyclamentray/cyclamentray/internal/steady"
)

// Bounds after which something must not happen any more. They are the
// deployment's own plus what faults may stretch them by.
const (
	evacuationBound = 12 * time.Second // 5 s, stretched by 5 s at most, and what is on its way
	drainBound      = 9 * time.Second  // 2 s, and a cut from the store of 5 s at most
	visibleBound    = 3 * time.Second
)

// Checker holds what callers and runners see against what must always hold. It
// is safe for concurrent use.
type Checker struct {
	mu         sync.Mutex
	jobs       map[string]*jobSeen
	running    map[batch.TaskID]map[string]int // attempts by runner
	doneNoted  map[batch.TaskID]bool
	evacuated  map[string]steady.Time // failure domain, since when
	draining   map[string]steady.Time // runner, since when
	versions   map[string]int         // by host incarnation
	violations []string
	starts     int
}

type jobSeen struct {
	spec     string
	accepted steady.Time // first 2xx; 0: none
	refused  bool        // every answer so far was a refusal
	started  bool
}

// NewChecker returns a checker that has seen nothing.
func NewChecker() *Checker {
	return &Checker{
		jobs: make(map[string]*jobSeen), running: make(map[batch.TaskID]map[string]int),
		doneNoted: make(map[batch.TaskID]bool), evacuated: make(map[string]steady.Time),
		draining: make(map[string]steady.Time), versions: make(map[string]int),
	}
}

func (c *Checker) violate(format string, args ...any) {
	c.violations = append(c.violations, fmt.Sprintf(format, args...))
}

// Violations returns what did not hold.
func (c *Checker) Violations() []string {
	c.mu.Lock()
	defer c.mu.Unlock()
	return append([]string(nil), c.violations...)
}

// RecordSubmission notes that a job is about to be handed in.
func (c *Checker) RecordSubmission(id, spec string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.jobs[id] == nil {
		c.jobs[id] = &jobSeen{spec: spec, refused: true}
	}
}

// RecordSubmissionAnswer notes the answer to handing a job in; status 0: none came.
func (c *Checker) RecordSubmissionAnswer(id string, status int, now steady.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	j := c.jobs[id]
	switch {
	case status == 200:
		j.refused = false
		if j.accepted.IsZero() {
			j.accepted = now
		}
	case status != 503 && status != 429:
		j.refused = false
	}
}

// RecordStateAnswer notes the answer to asking for a job.
func (c *Checker) RecordStateAnswer(id string, status int, asked steady.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	j := c.jobs[id]
	if status == 410 && j != nil && !j.accepted.IsZero() && asked.Sub(j.accepted) > visibleBound {
		c.violate("job %s was accepted and is unknown %s later", id, asked.Sub(j.accepted))
	}
}

// RecordConfiguration notes that a host's process has a configuration, or lacks one.
func (c *Checker) RecordConfiguration(incarnation string, version int, has bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if has {
		c.versions[incarnation] = max(c.versions[incarnation], version)
		return
	}
	if seen := c.versions[incarnation]; seen >= version {
		c.violate("host %s had configuration %d and fell back behind %d", incarnation, seen, version)
	}
}

// RecordEvacuation notes that a failure domain was taken out or back.
func (c *Checker) RecordEvacuation(domain string, out bool, now steady.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if out {
		c.evacuated[domain] = now
		return
	}
	delete(c.evacuated, domain)
}

// RecordDrain notes that a runner said that it leaves.
func (c *Checker) RecordDrain(runner string, now steady.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.draining[runner] = now
}

// RecordBoot notes that a runner starts anew and leaves no more.
func (c *Checker) RecordBoot(runner string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	delete(c.draining, runner)
}

// RecordStart notes that a runner started a task.
func (c *Checker) RecordStart(now steady.Time, on, domain string, task batch.TaskID, attempt int, spec string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.starts++
	c.checkJob(task, spec)
	if others := c.running[task]; len(others) > 0 {
		c.violate("task %v started on %s as attempt %d while it runs on %v", task, on, attempt, others)
	}
	if c.doneNoted[task] {
		c.violate("task %v started on %s as attempt %d after its end was acknowledged", task, on, attempt)
	}
	if since, out := c.evacuated[domain]; out && now.Sub(since) > evacuationBound {
		c.violate("task %v started in %s, %s after it was taken out", task, domain, now.Sub(since))
	}
	if since, leaving := c.draining[on]; leaving && now.Sub(since) > drainBound {
		c.violate("task %v started on %s, %s after it said that it leaves", task, on, now.Sub(since))
	}
	if c.running[task] == nil {
		c.running[task] = make(map[string]int)
	}
	c.running[task][on] = attempt
}

func (c *Checker) checkJob(task batch.TaskID, spec string) {
	j := c.jobs[task.Job]
	switch {
	case j == nil:
		c.violate("task %v started, and nobody handed its job in", task)
	case j.spec != spec:
		c.violate("task %v started with another spec", task)
	default:
		j.started = true
	}
}

// RecordEnd notes that a run ended.
func (c *Checker) RecordEnd(on string, task batch.TaskID) {
	c.mu.Lock()
	defer c.mu.Unlock()
	delete(c.running[task], on)
}

// RecordAcknowledgement notes that a scheduler acknowledged an end.
func (c *Checker) RecordAcknowledgement(end batch.EndedTask) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if end.Reason == batch.EndDone {
		c.doneNoted[end.Task] = true
	}
}

// CheckFinalState checks, once all faults are long over, what must have become of a job.
func (c *Checker) CheckFinalState(id, state string, cancelled bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	j := c.jobs[id]
	if j == nil || j.accepted.IsZero() {
		return
	}
	if state == "completed" || cancelled && state == "cancelled" {
		return
	}
	c.violate("job %s was accepted and is %s at the end", id, state)
}

// CheckRefusedJobs checks, once every try was answered, that nothing ran of which every
// try was refused. A task may start before the answer of the try that stored it.
func (c *Checker) CheckRefusedJobs() {
	c.mu.Lock()
	defer c.mu.Unlock()
	for id, j := range c.jobs {
		if j.started && j.refused {
			c.violate("job %s started, and every try to hand it in was refused", id)
		}
	}
}

// CheckCancelledJobs checks that nothing runs of cancelled jobs at the end.
func (c *Checker) CheckCancelledJobs(cancelled map[string]bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for task, on := range c.running {
		if cancelled[task.Job] && len(on) > 0 {
			c.violate("task %v of a cancelled job still runs on %v", task, on)
		}
	}
}
