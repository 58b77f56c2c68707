package soak

import (
	"fmt"
	"maps"
	"sync"
	"time"

	"github.com/cyclamentray/cyclamentray/batch"
	"github.com/cyclamentray/cyclamentray/internal/steady"
)

// Delays after which an event must have taken effect everywhere. Each is the
// deployment's own bound plus the time that faults may add to it.
const (
	maxEvacuationDelay = 12 * time.Second // 5 s, at most 5 s more by faults, and orders in flight
	maxDrainDelay      = 9 * time.Second  // 2 s, and at most 5 s without a connection to the store
	maxVisibilityDelay = 3 * time.Second
	maxCancelDelay     = 9 * time.Second  // 3 s, and at most 6 s that a start is under way
	maxCompletedDelay  = time.Second      // after a job was shown as completed, and what a cut link keeps an order
	maxRestartDelay    = 25 * time.Second // a lease, takeovers that follow one another, and an outage of the store
)

// Checker records what callers and runners observe and collects violations of
// the guarantees that must always hold. It is safe for concurrent use.
type Checker struct {
	log func(string) // called with each violation; nil: it isn't

	mu                  sync.Mutex
	jobs                map[string]*observedJob
	running             map[batch.TaskID]map[string]int // by task, attempts by runner
	doneAcknowledged    map[batch.TaskID]bool
	evacuatedSince      map[string]steady.Time            // by failure domain
	drainingSince       map[string]steady.Time            // by runner
	newestConfiguration map[string]int                    // by incarnation of a host, the newest version seen
	doneEnds            map[batch.TaskID]map[doneEnd]bool // ends done that aren't acknowledged; true: the task was started again since
	cancelledAt         map[string]steady.Time            // by job, when a cancellation was answered
	lostAt              map[batch.TaskID]steady.Time      // running when its runner crashed, and not started since
	disruptions         map[string]disruptions            // by host
	stoppedAt           map[string]steady.Time            // by host, the last SIGTERM
	completedAt         map[string]steady.Time            // by job, when it was first shown as completed
	doneTasks           map[string]map[batch.TaskID]bool  // by job, its tasks that have ended done
	orders              map[startKey]Order                // starts that are being carried out
	startsOf            map[startKey]int
	answers             int // to requests on open connections
	violations          []string
	starts              int
	lateStarts          int // carried out by a later incarnation than they were sent to
	restarts            int // of runners
	fenceTimes          []time.Duration
}

type observedJob struct {
	spec        string
	tasks       int
	acceptedAt  steady.Time // first answer with status 200; 0: none
	onlyRefused bool        // every answer so far had status 429 or 503
	started     bool
}

// NewChecker returns a checker without observations.
func NewChecker() *Checker {
	return &Checker{
		jobs: make(map[string]*observedJob), running: make(map[batch.TaskID]map[string]int),
		doneAcknowledged: make(map[batch.TaskID]bool), evacuatedSince: make(map[string]steady.Time),
		drainingSince: make(map[string]steady.Time), newestConfiguration: make(map[string]int),
		doneEnds:    make(map[batch.TaskID]map[doneEnd]bool),
		cancelledAt: make(map[string]steady.Time), lostAt: make(map[batch.TaskID]steady.Time),
		disruptions: make(map[string]disruptions), stoppedAt: make(map[string]steady.Time),
		completedAt: make(map[string]steady.Time), doneTasks: make(map[string]map[batch.TaskID]bool), orders: make(map[startKey]Order),
		startsOf: make(map[startKey]int),
	}
}

func (c *Checker) addViolation(format string, args ...any) {
	text := fmt.Sprintf(format, args...)
	c.violations = append(c.violations, text)
	if c.log != nil {
		c.log("violation: " + text)
	}
}

// addCalmViolation adds a violation that was found while nothing else happened.
func (c *Checker) addCalmViolation(text string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.addViolation("%s", text)
}

// Violations returns the violations found so far.
func (c *Checker) Violations() []string {
	c.mu.Lock()
	defer c.mu.Unlock()
	return append([]string(nil), c.violations...)
}

// RecordSubmission records that a job of so many tasks is about to be submitted.
func (c *Checker) RecordSubmission(id, spec string, tasks int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.jobs[id] == nil {
		c.jobs[id] = &observedJob{spec: spec, tasks: tasks, onlyRefused: true}
	}
}

// RecordSubmissionAnswer records the answer to one submission of a job; status 0:
// there was none.
func (c *Checker) RecordSubmissionAnswer(id string, status int, now steady.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	j := c.jobs[id]
	switch {
	case status == 200:
		j.onlyRefused = false
		if j.acceptedAt.IsZero() {
			j.acceptedAt = now
		}
	case status != 503 && status != 429:
		j.onlyRefused = false
	}
}

// CheckStateAnswer checks the answer to a request for a job's state: an accepted
// job must be known to every host after maxVisibilityDelay.
func (c *Checker) CheckStateAnswer(id string, status int, asked steady.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	j := c.jobs[id]
	if status == 410 && j != nil && !j.acceptedAt.IsZero() && asked.Sub(j.acceptedAt) > maxVisibilityDelay {
		c.addViolation("job %s was accepted and is unknown %s later", id, asked.Sub(j.acceptedAt))
	}
}

// RecordConfiguration records whether an incarnation of a host has a version of
// the configuration, and checks that it never reverts to an older one.
func (c *Checker) RecordConfiguration(incarnation string, version int, has bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if has {
		c.newestConfiguration[incarnation] = max(c.newestConfiguration[incarnation], version)
		return
	}
	if seen := c.newestConfiguration[incarnation]; seen >= version {
		c.addViolation("host %s had configuration %d and fell back behind %d", incarnation, seen, version)
	}
}

// RecordEvacuation records that a failure domain was taken out of service or
// returned to it.
func (c *Checker) RecordEvacuation(domain string, out bool, now steady.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if out {
		c.evacuatedSince[domain] = now
		return
	}
	delete(c.evacuatedSince, domain)
}

// RecordDrain records that a runner announced that it drains.
func (c *Checker) RecordDrain(runner string, now steady.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.drainingSince[runner] = now
}

// RecordBoot records that a runner rebooted: it no longer drains, and its ends are lost.
func (c *Checker) RecordBoot(runner string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	delete(c.drainingSince, runner)
	c.restarts++
	for _, ends := range c.doneEnds {
		maps.DeleteFunc(ends, func(e doneEnd, _ bool) bool { return e.runner == runner })
	}
}

// RecordStart records that a runner started a task, and checks that it was
// allowed to.
func (c *Checker) RecordStart(now steady.Time, runner, domain string, task batch.TaskID, attempt int, spec string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.starts++
	c.checkSubmitted(task, spec)
	if others := c.running[task]; len(others) > 0 {
		c.addViolation("task %v started on %s as attempt %d while it runs on %v", task, runner, attempt, others)
	}
	if c.doneAcknowledged[task] {
		c.addViolation("task %v started on %s as attempt %d after its end was acknowledged", task, runner, attempt)
	}
	key := startKey{runner, task, attempt}
	order := c.orders[key]
	c.startsOf[key]++
	if order.Earlier {
		c.lateStarts++
	}
	if !order.Late {
		c.checkStartTime(now, order.KeptByLink, runner, domain, task, attempt)
	}
	delete(c.lostAt, task)
	for end := range c.doneEnds[task] {
		c.doneEnds[task][end] = true
	}
	if c.running[task] == nil {
		c.running[task] = make(map[string]int)
	}
	c.running[task][runner] = attempt
}

// checkStartTime checks the rules with a time bound. keptByLink is for how long its link has kept
// the order. The caller holds mu.
func (c *Checker) checkStartTime(now steady.Time, keptByLink time.Duration, runner, domain string, task batch.TaskID, attempt int) {
	if since, out := c.evacuatedSince[domain]; out && now.Sub(since) > maxEvacuationDelay {
		c.addViolation("task %v started in %s, %s after it was taken out", task, domain, now.Sub(since))
	}
	if since, leaving := c.drainingSince[runner]; leaving && now.Sub(since) > maxDrainDelay {
		c.addViolation("task %v started on %s, %s after it said that it leaves", task, runner, now.Sub(since))
	}
	if at, cancelled := c.cancelledAt[task.Job]; cancelled && now.Sub(at) > maxCancelDelay {
		c.addViolation("task %v started on %s as attempt %d, %s after its job's cancellation was answered", task, runner, attempt, now.Sub(at))
	}
	if at, completed := c.completedAt[task.Job]; completed && now.Sub(at)-keptByLink > maxCompletedDelay {
		c.addViolation("task %v started on %s as attempt %d, %s after its job was shown as completed; its link had kept the order for %s", task, runner, attempt, now.Sub(at), keptByLink)
	}
	c.checkRestartDelay(task, now)
}

func (c *Checker) checkSubmitted(task batch.TaskID, spec string) {
	j := c.jobs[task.Job]
	switch {
	case j == nil:
		c.addViolation("task %v started, and nobody handed its job in", task)
	case j.spec != spec:
		c.addViolation("task %v started with another spec", task)
	default:
		j.started = true
	}
}

// RecordEnd records that a runner's run of a task ended.
func (c *Checker) RecordEnd(runner string, task batch.TaskID) {
	c.mu.Lock()
	defer c.mu.Unlock()
	delete(c.running[task], runner)
}

// doneEnd is the end of a run, on a runner that has not rebooted since.
type doneEnd struct {
	runner  string
	attempt int
}

// RecordDone records that a run of a task ended done.
func (c *Checker) RecordDone(runner string, task batch.TaskID, attempt int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.doneEnds[task] == nil {
		c.doneEnds[task] = make(map[doneEnd]bool)
	}
	c.doneEnds[task][doneEnd{runner, attempt}] = false
	if c.doneTasks[task.Job] == nil {
		c.doneTasks[task.Job] = make(map[batch.TaskID]bool)
	}
	c.doneTasks[task.Job][task] = true
}

// CheckCompleted checks that each task of a job that is shown as completed has ended done.
func (c *Checker) CheckCompleted(id string, now steady.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if _, shown := c.completedAt[id]; shown {
		return
	}
	c.completedAt[id] = now
	if j := c.jobs[id]; j != nil && len(c.doneTasks[id]) < j.tasks {
		c.addViolation("job %s is shown as completed, and %d of its %d tasks have ended done", id, len(c.doneTasks[id]), j.tasks)
	}
}

// startKey names a start at a runner.
type startKey struct {
	runner  string
	task    batch.TaskID
	attempt int
}

// Order is a start that a runner is about to carry out.
type Order struct {
	Runner     string
	Task       batch.TaskID
	Attempt    int
	Late       bool          // the runner has kept it; then rules with a time bound don't apply
	Earlier    bool          // it was sent to an earlier incarnation
	KeptByLink time.Duration // by a cut
}

// RecordOrder records how a start came that is about to be carried out. The function that it
// returns is called after that, and returns whether a run has begun.
func (c *Checker) RecordOrder(o Order) (begun func() bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	key := startKey{o.Runner, o.Task, o.Attempt}
	c.orders[key] = o
	before := c.startsOf[key]
	return func() bool {
		c.mu.Lock()
		defer c.mu.Unlock()
		delete(c.orders, key)
		return c.startsOf[key] > before
	}
}

// RecordFence records after how long an incarnation has seen a higher token than those before it.
func (c *Checker) RecordFence(sinceBoot time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.fenceTimes = append(c.fenceTimes, sinceBoot)
}

// CheckNotRestarted checks that a task whose end done is acknowledged was not started after
// that end. It may have been if its runner's lease ran out before the acknowledgement.
func (c *Checker) CheckNotRestarted(runner string, end batch.EndedTask, lapsed bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	key := doneEnd{runner, end.Attempt}
	if end.Reason == batch.EndDone && c.doneEnds[end.Task][key] && !lapsed {
		c.addViolation("task %v started again after the end of attempt %d on %s, which was acknowledged later", end.Task, end.Attempt, runner)
	}
	delete(c.doneEnds[end.Task], key)
}

// RecordCancellation records that the cancellation of a job was answered.
func (c *Checker) RecordCancellation(job string, now steady.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.cancelledAt[job] = now
}

// RecordCrash records which tasks are lost as their runner is about to crash.
func (c *Checker) RecordCrash(runner string, now steady.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for task, on := range c.running {
		if _, here := on[runner]; here {
			c.lostAt[task] = now
		}
	}
}

// checkRestartDelay checks that a lost task is started again in time. The caller holds mu.
func (c *Checker) checkRestartDelay(task batch.TaskID, now steady.Time) {
	if at, lost := c.lostAt[task]; lost && now.Sub(at) > maxRestartDelay {
		c.addViolation("task %v started again only %s after its runner was lost", task, now.Sub(at))
	}
}

// RecordAcknowledgement records that a scheduler acknowledged the end of a task.
func (c *Checker) RecordAcknowledgement(end batch.EndedTask) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if end.Reason == batch.EndDone {
		c.doneAcknowledged[end.Task] = true
	}
}

// CheckFinalState checks that an accepted job was completed, or cancelled on
// request. It is called once settleTimeout is over or all jobs have ended.
func (c *Checker) CheckFinalState(id, state string, cancelled bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	j := c.jobs[id]
	if j == nil || j.acceptedAt.IsZero() {
		return
	}
	if state == "completed" || cancelled && state == "cancelled" {
		return
	}
	c.addViolation("job %s was accepted and is %s at the end", id, state)
}

// CheckRefusedJobs checks that no job started of which every submission was
// refused. It is called once every submission was answered, since a task may
// start before the answer to the submission that stored it.
func (c *Checker) CheckRefusedJobs() {
	c.mu.Lock()
	defer c.mu.Unlock()
	for id, j := range c.jobs {
		if j.started && j.onlyRefused {
			c.addViolation("job %s started, and every try to hand it in was refused", id)
		}
	}
}

// CheckCancelledJobs checks that no task of a cancelled job is still running.
func (c *Checker) CheckCancelledJobs(cancelled map[string]bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for task, runners := range c.running {
		if cancelled[task.Job] && len(runners) > 0 {
			c.addViolation("task %v of a cancelled job still runs on %v", task, runners)
		}
	}
}
