package dispatch

import (
	"context"
	"fmt"
	"math"
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/charmbracelet/log"
	"github.com/cockroachdb/errors"

	"github.com/cyclamentray/cyclamentray/batch"
	"github.com/cyclamentray/cyclamentray/batch/ledger"
	"github.com/cyclamentray/cyclamentray/batch/mechanism"
	"github.com/cyclamentray/cyclamentray/batch/scheduler"
	"github.com/cyclamentray/cyclamentray/internal/pause"
	"github.com/cyclamentray/cyclamentray/internal/steady"
	"github.com/cyclamentray/cyclamentray/kvstore"
)

const (
	// decideInterval bounds the delay of decisions that become due only by the
	// passage of time.
	decideInterval = 100 * time.Millisecond

	// minDecidePause is the shortest pause between two decisions, so that a burst of
	// changes is handled in one decision.
	minDecidePause = 5 * time.Millisecond

	// decidePauseFactor is the shortest pause after a decision as a multiple of the
	// decision's duration. It keeps decisions from taking more than a third of the
	// processor.
	decidePauseFactor = 2

	loadRetryDelay = 100 * time.Millisecond // short: the leader can do nothing else meanwhile
)

// Conditions gives the leader the operators' documents and the runners' entries,
// as the host follows them in the store.
type Conditions interface {
	Configuration() *batch.Configuration // nil: none yet
	Evacuated() map[string]bool
	// FollowRunners reports changes of the runners until ctx ends.
	FollowRunners(ctx context.Context, events RunnerEventHandler)
}

// RunnerEventHandler receives changes of the runners. It is safe for concurrent use.
type RunnerEventHandler interface {
	Listed(r batch.Runner) // the runner is new or its entry has changed
	Unlisted(id string)    // it sends no heartbeats or its entry is invalid; it may still run tasks
	// Left reports that an incarnation has ended, and so have all its tasks.
	Left(id string, born int64)
	// MayHaveLeft reports the same, unless the runner answers a hold that is sent from now on.
	MayHaveLeft(id string, born int64)
	// Age returns how old an incarnation was at least at the given time; 0: unknown.
	Age(id string, born int64, at steady.Time) time.Duration
}

// Options are the dependencies and limits of a Leader.
type Options struct {
	Store         kvstore.Keyspace
	Replica       *ledger.Replica
	Runners       Runners
	AdviserRoutes AdviserRoutes
	Conditions    Conditions
	Log           *log.Logger
	Metrics       *metrics.Set     // nil: no metrics
	Now           func() time.Time // returns the time of day; it never jumps

	RunnerLease   time.Duration // lease of a runner, which all its tasks share
	Cores         float64       // processor cores that this host may use
	MaxEarlyStart time.Duration // how early an occurrence may start
	Off           mechanism.Set // mechanisms that an experiment switches off
	RemoteFactor  float64       // slow-down of tasks away from their gang's rack or their data
}

// Leader schedules during one term. It owns the scheduler's core and one
// runnerLink for each runner.
type Leader struct {
	Options
	term *Term

	mu        sync.Mutex // guards core and the maps
	core      *scheduler.Core
	revisions map[string]uint64      // by job: revision of its progress record in the store
	states    map[string]batch.State // by job: state that callers see, as last committed
	links     map[string]*runnerLink // by runner ID

	// raisedTokens holds the token of orders to each runner that has restarted during the
	// term, as the runner may be removed and come back.
	raisedTokens map[string]uint64

	routes map[string]*adviserRoute // by host address

	leaseEnds leaseEndsRecord // used by load and leaseEndsLoop only

	decisionDue  chan struct{} // an event may allow a decision
	recordsDirty chan struct{} // a progress record changed
	adviceDue    chan struct{} // a question to the adviser may be due
	committed    chan struct{} // closed and replaced after each commit; guarded by mu
	background   sync.WaitGroup
}

// Lead schedules until ctx ends. The end of the term ends ctx, too.
func Lead(ctx context.Context, o Options, t *Term) {
	l := &Leader{
		Options:      o,
		term:         t,
		revisions:    make(map[string]uint64),
		states:       make(map[string]batch.State),
		links:        make(map[string]*runnerLink),
		raisedTokens: make(map[string]uint64),
		routes:       make(map[string]*adviserRoute),
		decisionDue:  make(chan struct{}, 1),
		recordsDirty: make(chan struct{}, 1),
		adviceDue:    make(chan struct{}, 1),
		committed:    make(chan struct{}),
	}
	defer l.background.Wait()
	changed, stopWatch := l.Replica.Watch() // before the records are read, so that no job falls between the two
	defer stopWatch()
	if !l.load(ctx) {
		return
	}
	l.background.Go(func() { l.Conditions.FollowRunners(ctx, runnerEventHandler{ctx, l}) })
	l.background.Go(func() { l.recordLoop(ctx) })
	l.background.Go(func() { l.leaseEndsLoop(ctx) })
	l.background.Go(func() { l.speedsLoop(ctx) })
	if l.AdviserRoutes.Local != nil {
		l.background.Go(func() { l.adviceLoop(ctx) })
	}
	l.decideLoop(ctx, changed)
}

// load reads the records of earlier terms and builds the core from them. Earlier
// terms can't write afterwards: each of their writes is conditional on their own
// term.
func (l *Leader) load(ctx context.Context) bool {
	reader := newRecordsReader(l)
	for ctx.Err() == nil {
		found, err := reader.read(ctx)
		if err == nil {
			l.buildCore(found)
			return true
		}
		l.Log.Warn("reading records failed; retrying", "err", err)
		pause.For(ctx, loadRetryDelay)
	}
	return false
}

func (l *Leader) buildCore(found storedRecords) {
	now := steady.Now()
	l.leaseEnds = found.leaseEnds
	l.core = scheduler.New(scheduler.Options{
		Began:             now,
		RecordedLeaseEnds: l.leaseEndsBy(l.leaseEnds, now),
		MaxEarlyStart:     l.MaxEarlyStart,
		RemoteFactor:      l.RemoteFactor,
		InheritedLeaseEnd: now.Add(maxLeaseDuration(l.RunnerLease)),
		EarlierOrders:     startTimeout + lateOrderLimit + maxLeaseDuration(l.RunnerLease),
		LateOrders:        startTimeout + lateOrderLimit,
		LearnedSpeeds:     found.speeds,
		Off:               l.Off,
		Observe:           l.logDecision,
		ObserveDomain:     l.logDomain,

		ObserveEndsTruncated: l.logEndsTruncated,
		ObserveRestart:       l.noteRestart,
	})
	l.core.SetConfiguration(l.Conditions.Configuration()) // what recorded runs reserve depends on it
	n := l.addRecordedJobs(found, now)
	l.countJobs("records", n)
	l.Log.Info("records read", "token", l.term.Token, "jobs", n, "speeds", len(found.speeds.Runners))
}

// addRecordedJobs adds the jobs that have not ended, and those that have but whose starts may
// still be under way. It returns their number.
func (l *Leader) addRecordedJobs(found storedRecords, now steady.Time) int {
	recorded := make(map[string]kvstore.Item, len(found.progress))
	for _, item := range found.progress {
		recorded[ledger.JobFromProgressKey(item.Key)] = item
	}
	n := 0
	add := func(e ledger.Entry) {
		l.addJob(e, recorded[e.Job.ID], now)
		n++
	}
	found.jobs.EachJob(func(e ledger.Entry) {
		if _, kept := recorded[e.Job.ID]; kept || !l.Replica.Ended(e.Job.ID) {
			add(e)
		}
	})
	for id := range recorded {
		if _, added := l.core.JobState(id); added {
			continue
		}
		if e, known := l.Replica.Job(id); known {
			add(e)
		}
	}
	return n
}

// addJob adds a job to the core with its progress record, if there is one. The
// caller holds mu, or no other goroutine uses the leader yet.
func (l *Leader) addJob(e ledger.Entry, progress kvstore.Item, now steady.Time) {
	id := e.Job.ID
	var recorded *batch.Progress
	if progress.Revision != 0 {
		p, err := ledger.DecodeProgress(progress.Value)
		if err != nil {
			l.Log.Error("progress record can't be decoded; job is not scheduled", "job", id, "revision", progress.Revision, "err", err)
			l.revisions[id] = progress.Revision // so that addNewJobs leaves it out
			return
		}
		recorded = &p
	}
	l.revisions[id] = progress.Revision
	l.states[id] = e.RecordedState
	l.core.AddJob(e.Job, recorded, now)
	if e.Cancelled {
		l.core.CancelJob(id, now)
	}
}

// logDecision logs and counts a decision.
func (l *Leader) logDecision(d scheduler.Decision) {
	l.countDecision(d)
	l.Log.Info(d.What, "job", d.Job, "occurrence", d.Task.Occurrence, "step", d.Task.Step, "task", d.Task.Index,
		"attempt", d.Attempt, "runner", d.Runner, "reason", d.Reason, "token", l.term.Token, "waited", d.Waited.Round(time.Millisecond),
		"factor", math.Round(d.TimeFactor*100)/100, "work", d.Work.Round(time.Millisecond), "remote", d.Remote,
		"since-accepted", d.SinceAccepted.Round(time.Millisecond))
}

// logDomain logs that a failure domain fell silent, or that it reports again.
func (l *Leader) logDomain(domain string, silent bool) {
	if silent {
		l.Log.Warn("failure domain silent", "domain", domain, "token", l.term.Token)
		return
	}
	l.Log.Info("failure domain reports again", "domain", domain, "token", l.term.Token)
}

// logEndsTruncated logs that a runner's reports leave ends out, or no longer do.
func (l *Leader) logEndsTruncated(runner string, truncated bool) {
	if truncated {
		l.Log.Warn("runner's reports leave ends out until ends are recorded", "runner", runner, "token", l.term.Token)
		return
	}
	l.Log.Info("runner's reports list all ends again", "runner", runner, "token", l.term.Token)
}

// noteRestart logs that a runner has restarted, and has the token of orders to it raised.
// Until the new incarnation has reported, nothing is sent with a deadline on its clock, and
// a hold to the earlier one is not waited for. The caller holds mu.
func (l *Leader) noteRestart(runner string, born, earlier, described int64) {
	if k := l.links[runner]; k != nil {
		k.tokenAtRestart, k.clockAt = k.token, 0
		if k.cancelHold != nil {
			k.cancelHold()
		}
	}
	l.Log.Info("runner restarted", "runner", runner, "born", born, "earlier", earlier, "entry-born", described, "token", l.term.Token)
}

// noteFenced logs that a restarted runner has seen a higher token than any order of before, and
// how long after its start it did: until then it carries such orders out. The caller holds mu.
func (l *Leader) noteFenced(runner string, token uint64, report batch.Report) {
	l.Log.Info("runner fenced", "runner", runner, "born", report.Born, "after", report.Clock, "with", token, "token", l.term.Token)
	if l.Metrics != nil {
		l.Metrics.GetOrCreateHistogram("cyclamentray_batch_fence_seconds").Update(report.Clock.Seconds())
	}
}

func (l *Leader) countDecision(d scheduler.Decision) {
	if l.Metrics == nil {
		return
	}
	l.Metrics.GetOrCreateCounter(fmt.Sprintf(`cyclamentray_batch_decisions_total{what=%q}`, d.What)).Inc()
	if d.What == "place" {
		l.Metrics.GetOrCreateHistogram("cyclamentray_batch_wait_seconds").Update(d.Waited.Seconds())
	}
	if d.SincePreemption > 0 {
		l.Metrics.GetOrCreateHistogram("cyclamentray_batch_reclaim_seconds").Update(d.SincePreemption.Seconds())
	}
}

// decideLoop passes changes of the replica to the core, decides and sends the resulting
// orders.
func (l *Leader) decideLoop(ctx context.Context, changed <-chan struct{}) {
	timer := time.NewTicker(decideInterval)
	defer timer.Stop()
	for {
		began := steady.Now()
		select {
		case <-changed: // also one that came while the records were read
			l.addNewJobs()
		default:
		}
		l.decide(ctx)
		pause.For(ctx, max(minDecidePause, decidePauseFactor*steady.Now().Sub(began)))
		select {
		case <-ctx.Done():
			return
		case <-timer.C:
		case <-l.decisionDue:
		case <-changed:
			l.addNewJobs()
		}
	}
}

// addNewJobs passes new jobs and cancellations from the replica to the core.
func (l *Leader) addNewJobs() {
	now := steady.Now()
	l.mu.Lock()
	defer l.mu.Unlock()
	l.Replica.EachJob(func(e ledger.Entry) {
		_, known := l.core.JobState(e.Job.ID)
		_, recorded := l.revisions[e.Job.ID]
		switch {
		case known && e.Cancelled:
			l.core.CancelJob(e.Job.ID, now)
		case !known && !recorded && !e.RecordedState.Final():
			l.addJob(e, kvstore.Item{}, now)
			l.countJobs("changes", 1)
		}
	})
}

// countJobs counts jobs that the leader has learned of: from the records that it read at
// the start of its term, or from later changes.
func (l *Leader) countJobs(from string, n int) {
	if l.Metrics != nil {
		l.Metrics.GetOrCreateCounter(fmt.Sprintf(`cyclamentray_batch_jobs_learned_total{from=%q}`, from)).Add(n)
	}
}

func (l *Leader) decide(ctx context.Context) {
	wait := l.holdWait()
	l.mu.Lock()
	l.core.SetConfiguration(l.Conditions.Configuration())
	l.core.SetEvacuated(l.Conditions.Evacuated())
	l.core.SetMaxReportAge(wait + holdGrace)
	if l.term.Valid() {
		l.core.Decide(steady.Now(), l.Now())
	}
	orders := l.core.TakeOrders()
	advised := l.core.HasAdvisedJobs()
	l.mu.Unlock()
	l.sendOrders(ctx, orders)
	if advised {
		signal(l.adviceDue)
	}
	signal(l.recordsDirty)
}

func signal(c chan struct{}) {
	select {
	case c <- struct{}{}:
	default:
	}
}

// maxLeaseDuration returns how long a lease of d may last when the runner's clock
// is the slowest one allowed for: 3 % slow, plus clockReadSlack.
func maxLeaseDuration(d time.Duration) time.Duration {
	return d*103/100 + clockReadSlack
}

// lateOrderLimit is how long after it was sent a runner may carry out an order that it left
// unanswered: the longest delay among the platform's kinds of disruption.
const lateOrderLimit = 12 * time.Second

// clockReadSlack covers the latency of the report from which a runner's clock was
// read.
const clockReadSlack = 300 * time.Millisecond

// giveUpTerm logs the reason and ends the term.
func (l *Leader) giveUpTerm(reason string, err error) {
	l.Log.Warn("term given up", "token", l.term.Token, "reason", reason, "err", err)
	l.term.End()
}

// errForeignWrite means that another writer changed a progress record.
var errForeignWrite = errors.New("dispatch: a record was changed by another writer")
