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
	"github.com/cyclamentray/cyclamentray/batch/scheduler"
	"github.com/cyclamentray/cyclamentray/internal/pause"
	"github.com/cyclamentray/cyclamentray/internal/steady"
	"github.com/cyclamentray/cyclamentray/kvstore"
)

const (
	// decideInterval bounds how late a decision that only time brings is taken.
	decideInterval = 100 * time.Millisecond

	// minDecidePause lies between two decisions, so that a burst is decided at once.
	minDecidePause = 5 * time.Millisecond

	// decidePauseFactor keeps decisions from taking more than a third of the processor.
	decidePauseFactor = 2

	loadTimeout    = 3 * time.Second        // a few pages of a slow store
	loadRetryDelay = 100 * time.Millisecond // nothing else can be done meanwhile
)

// Conditions is what operators and runners say, as the host follows it.
type Conditions interface {
	Configuration() *batch.Configuration // nil: none yet
	Evacuated() map[string]bool
	// FollowRunners tells of runners until ctx ends.
	FollowRunners(ctx context.Context, to RunnerEvents)
}

// RunnerEvents takes what is said of runners. It is safe for concurrent use.
type RunnerEvents interface {
	Listed(r batch.Runner) // it is there, or says something new of itself
	Unlisted(id string)    // it is silent, or its entry can't be used; it may still run tasks
	Left(id string)        // it has ended, and so has all that ran on it
}

// Options of a Leader.
type Options struct {
	Store         kvstore.Keyspace
	Replica       *ledger.Replica
	Runners       Runners
	AdviserRoutes AdviserRoutes
	Conditions    Conditions
	Log           *log.Logger
	Metrics       *metrics.Set     // nil: nothing is counted
	Now           func() time.Time // time of day, without jumps

	RunnerLease  time.Duration // of what runs on a runner
	Cores        float64       // of processor time of this host
	Early        time.Duration
	RemoteFactor float64
}

// Leader schedules during one term.
type Leader struct {
	Options
	term *Term

	mu        sync.Mutex // guards the core and the maps
	core      *scheduler.Core
	revisions map[string]uint64      // of the progress record of each job
	states    map[string]batch.State // as callers are told
	links     map[string]*runnerLink
	routes    map[string]*adviserRoute // by address

	decisionDue  chan struct{} // something may be decided
	recordsDirty chan struct{} // a record changed
	adviceDue    chan struct{} // a question for the adviser may be due
	committed    chan struct{} // closed and replaced after each commit; guarded by mu
	background   sync.WaitGroup
}

// Lead schedules until ctx ends, which the end of the term brings about too.
func Lead(ctx context.Context, o Options, t *Term) {
	l := &Leader{
		Options:      o,
		term:         t,
		revisions:    make(map[string]uint64),
		states:       make(map[string]batch.State),
		links:        make(map[string]*runnerLink),
		routes:       make(map[string]*adviserRoute),
		decisionDue:  make(chan struct{}, 1),
		recordsDirty: make(chan struct{}, 1),
		adviceDue:    make(chan struct{}, 1),
		committed:    make(chan struct{}),
	}
	defer l.background.Wait()
	if !l.load(ctx) {
		return
	}
	l.background.Go(func() { l.Conditions.FollowRunners(ctx, runnerEvents{ctx, l}) })
	l.background.Go(func() { l.recordLoop(ctx) })
	l.background.Go(func() { l.speedsLoop(ctx) })
	if l.AdviserRoutes.Local != nil {
		l.background.Go(func() { l.adviceLoop(ctx) })
	}
	l.decideLoop(ctx)
}

// load reads what earlier terms recorded. Nothing they write comes later: each
// of their writes demands their own term.
func (l *Leader) load(ctx context.Context) bool {
	for ctx.Err() == nil {
		call, cancel := context.WithTimeout(ctx, loadTimeout)
		found, err := l.readAll(call)
		cancel()
		if err == nil {
			l.buildCore(found)
			return true
		}
		l.Log.Warn("records not read; trying again", "err", err)
		pause.For(ctx, loadRetryDelay)
	}
	return false
}

// storedRecords is what earlier terms left in the store.
type storedRecords struct {
	jobs, progress []kvstore.Item
	speeds         batch.Speeds
}

func (l *Leader) readAll(ctx context.Context) (found storedRecords, err error) {
	if found.jobs, _, err = l.Store.List(ctx, ledger.ReplicaPrefix); err != nil {
		return found, err
	}
	if found.progress, _, err = l.Store.List(ctx, ledger.ProgressPrefix); err != nil {
		return found, err
	}
	found.speeds, err = l.readSpeeds(ctx)
	return found, err
}

func (l *Leader) buildCore(found storedRecords) {
	replica := ledger.NewReplica(l.Log)
	replica.Reset(found.jobs)
	now := steady.Now()
	l.core = scheduler.New(scheduler.Options{
		Early:          l.Early,
		RemoteFactor:   l.RemoteFactor,
		InheritedUntil: now.Add(maxLeaseDuration(l.RunnerLease)),
		Learned:        found.speeds,
		Observe:        l.logDecision,
	})
	recorded := make(map[string]kvstore.Item, len(found.progress))
	for _, item := range found.progress {
		recorded[ledger.JobFromProgressKey(item.Key)] = item
	}
	n := 0
	replica.EachJob(func(e ledger.Entry) {
		l.addJob(e, recorded[e.Job.ID], now)
		n++
	})
	l.Log.Info("records read", "token", l.term.Token, "jobs", n, "speeds", len(found.speeds.Runners))
}

// addJob gives a job to the core with its progress record, if there is one.
// The caller holds mu, or is alone.
func (l *Leader) addJob(e ledger.Entry, progress kvstore.Item, now steady.Time) {
	id := e.Job.ID
	var recorded *batch.Progress
	if progress.Revision != 0 {
		p, err := ledger.DecodeProgress(progress.Value)
		if err != nil {
			l.Log.Error("progress is unreadable; the job is left alone", "job", id, "revision", progress.Revision, "err", err)
			return
		}
		recorded = &p
	}
	l.revisions[id] = progress.Revision
	l.states[id] = e.RecordedState
	l.core.AddJob(e.Job, recorded, now)
	if e.Cancelled {
		l.core.Cancel(id, now)
	}
}

func (l *Leader) logDecision(d scheduler.Decision) {
	l.countDecision(d)
	l.Log.Info(d.What, "job", d.Job, "occurrence", d.Task.Occurrence, "step", d.Task.Step, "task", d.Task.Index,
		"attempt", d.Attempt, "runner", d.Runner, "reason", d.Reason, "token", l.term.Token, "waited", d.Waited.Round(time.Millisecond),
		"factor", math.Round(d.Factor*100)/100, "work", d.Work.Round(time.Millisecond))
}

func (l *Leader) countDecision(d scheduler.Decision) {
	if l.Metrics == nil {
		return
	}
	l.Metrics.GetOrCreateCounter(fmt.Sprintf(`cyclamentray_batch_decisions_total{what=%q}`, d.What)).Inc()
	if d.What == "place" {
		l.Metrics.GetOrCreateHistogram("cyclamentray_batch_wait_seconds").Update(d.Waited.Seconds())
	}
	if d.Preempted > 0 {
		l.Metrics.GetOrCreateHistogram("cyclamentray_batch_reclaim_seconds").Update(d.Preempted.Seconds())
	}
}

// decideLoop takes in what changed, decides, and sends what was decided.
func (l *Leader) decideLoop(ctx context.Context) {
	changed := l.Replica.Watch()
	timer := time.NewTicker(decideInterval)
	defer timer.Stop()
	for {
		began := steady.Now()
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

// addNewJobs gives the core the jobs and cancellations that it doesn't have.
func (l *Leader) addNewJobs() {
	now := steady.Now()
	l.mu.Lock()
	defer l.mu.Unlock()
	l.Replica.EachJob(func(e ledger.Entry) {
		if _, known := l.core.State(e.Job.ID); !known {
			l.addJob(e, kvstore.Item{}, now)
		} else if e.Cancelled {
			l.core.Cancel(e.Job.ID, now)
		}
	})
}

func (l *Leader) decide(ctx context.Context) {
	wait := l.holdWait()
	l.mu.Lock()
	l.core.Configure(l.Conditions.Configuration())
	l.core.Evacuate(l.Conditions.Evacuated())
	l.core.Freshness(wait + holdGrace)
	if l.term.Valid() {
		l.core.Decide(steady.Now(), l.Now())
	}
	orders := l.core.TakeOrders()
	asks := l.core.AnyAdvised()
	l.mu.Unlock()
	l.sendOrders(ctx, orders)
	if asks {
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

// maxLeaseDuration returns how long a lease of d can last on the maxLeaseDuration runner's clock.
func maxLeaseDuration(d time.Duration) time.Duration {
	return d*103/100 + clockReadSlack
}

// clockReadSlack covers the way of a report that a runner's clock was read from.
const clockReadSlack = 300 * time.Millisecond

func (l *Leader) giveUpTerm(reason string, err error) {
	l.Log.Warn("term given up", "token", l.term.Token, "reason", reason, "err", err)
	l.term.End()
}

// errForeignWrite means that a record was changed by somebody else.
var errForeignWrite = errors.New("dispatch: a record was changed by another writer")
