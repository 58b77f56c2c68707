// Package gang runs gangs: the tasks of a job, which all run or none does. The
// entry host that holds a failure domain's scheduler term reserves, starts,
// checkpoints and stops the gangs there. Every entry host renews the leases of
// the gangs assigned to it, which needs no term. The state of runs is held in
// memory; a host that takes over the term rebuilds it from the ledger and the
// workers. Package entryhost creates and runs the Scheduler; intake asks it for
// wait reasons and startable jobs.
package gang

import (
	"context"
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/charmbracelet/log"
	"golang.org/x/sync/singleflight"

	"github.com/cyclamentray/cyclamentray/config"
	"github.com/cyclamentray/cyclamentray/election"
	"github.com/cyclamentray/cyclamentray/intake/ledger"
	"github.com/cyclamentray/cyclamentray/internal/defaults"
	"github.com/cyclamentray/cyclamentray/job"
	"github.com/cyclamentray/cyclamentray/membership"
	"github.com/cyclamentray/cyclamentray/peer"
	"github.com/cyclamentray/cyclamentray/placement"
	"github.com/cyclamentray/cyclamentray/workerapi"
)

const (
	maxCycleInterval   = time.Second            // between two cycles when no event arrives
	eventBatchDelay    = 10 * time.Millisecond  // events that arrive within it are handled by the same cycle
	unansweredCooldown = 15 * time.Second       // no new gang on a worker for this long after an unanswered call
	eventBufferSize    = 1024                   // events waiting for the loop
	peerCallTimeout    = 900 * time.Millisecond // of one call to an entry host
)

// Options configures a Scheduler.
type Options struct {
	FailureDomain string
	Ledger        *ledger.Jobs // of the failure domain; the caller runs it
	Config        config.Source
	Membership    membership.Source
	Election      election.Holder
	Workers       WorkerCaller // nil: HTTP
	Peers         peer.Caller  // nil: there are no other entry hosts
	Decide        func(placement.View) placement.Plan
	Notes         *ledger.Notes // stores run time estimates across schedulers; nil: they are not stored
	Now           func() time.Time
	Logger        *log.Logger
	Metrics       *metrics.Set
}

func (o Options) withDefaults() Options {
	if o.Workers == nil {
		o.Workers = NewHTTPWorkerCaller()
	}
	if o.Decide == nil {
		o.Decide = placement.Decide
	}
	o.Now = defaults.Now(o.Now)
	o.Logger = defaults.Logger(o.Logger)
	o.Metrics = defaults.Metrics(o.Metrics)
	return o
}

// trackedRun is a run with the scheduler's state about its job.
type trackedRun struct {
	run            *Run
	record         job.Record // as placed or adopted
	outcomeCounted bool       // its outcome is in the estimates, quarantine and counters
	fatalReason    string     // why the job itself fails for good; empty: it may run again
}

// runEvent is an event posted to the loop for a run.
type runEvent struct {
	gang  workerapi.Gang
	term  uint64
	event Event
}

// Scheduler places, starts and stops the gangs of one failure domain while this
// host holds its term. It renews the leases of the gangs assigned to this host
// with or without the term. Its exported methods except Cycle are safe for
// concurrent use.
type Scheduler struct {
	o                Options
	permit           Permit
	renewer          *renewer
	events           chan runEvent
	startableQueries chan startableQuery
	cycleRequests    chan struct{}
	ioCalls          sync.WaitGroup // goroutines doing I/O
	taskListings     singleflight.Group

	// Accessed only by the loop.
	term           uint64
	runs           map[string]*trackedRun
	wakeAt         time.Time             // of the next planned cycle; zero: none
	retries        map[string]startRetry // backoff by key of the jobs whose last start failed
	estimates      *placement.Estimates
	quarantine     *placement.Quarantine
	estimatesState estimatesState

	mu           sync.Mutex
	endWrites    map[string]bool                           // keys of queued jobs whose end is being written
	unanswered   map[string]time.Time                      // worker to the time of its last unanswered call
	observations map[workerapi.Gang]map[string]Observation // by gang and worker
	waitReasons  map[string]string                         // job key to the reason it waits
	deficits     []placement.Deficit

	metrics schedulerMetrics
}

// New returns a Scheduler. It does nothing until Run is called.
func New(o Options) *Scheduler {
	o = o.withDefaults()
	s := &Scheduler{
		o:                o,
		permit:           Permit{FailureDomain: o.FailureDomain, Config: o.Config, Election: o.Election},
		startableQueries: make(chan startableQuery),
		events:           make(chan runEvent, eventBufferSize),
		cycleRequests:    make(chan struct{}, 1),
		runs:             make(map[string]*trackedRun),
		endWrites:        make(map[string]bool),
		unanswered:       make(map[string]time.Time),
		observations:     make(map[workerapi.Gang]map[string]Observation),
		waitReasons:      make(map[string]string),
		metrics:          newSchedulerMetrics(o.Metrics),

		retries:        make(map[string]startRetry),
		estimates:      placement.NewEstimates(),
		quarantine:     placement.NewQuarantine(),
		estimatesState: newEstimatesState(),
	}
	o.Metrics.GetOrCreateGauge("cyclamentray_gang_deficits", func() float64 { return float64(len(s.Deficits())) })
	s.renewer = newRenewer(o, s.Observe)
	return s
}

// Run schedules and renews until ctx ends, then waits for I/O in progress.
func (s *Scheduler) Run(ctx context.Context) error {
	var wg sync.WaitGroup
	wg.Go(func() { s.renewer.run(ctx) })
	s.loop(ctx)
	wg.Wait()
	s.ioCalls.Wait()
	if h, ok := s.o.Workers.(*HTTPWorkerCaller); ok {
		h.Close()
	}
	return nil
}

func (s *Scheduler) loop(ctx context.Context) {
	for ctx.Err() == nil {
		ledgerChanged := s.o.Ledger.Changed()
		configChanged := s.o.Config.Changed()
		s.Cycle(ctx)
		timer := time.NewTimer(s.nextCycleDelay())
		select {
		case <-ctx.Done():
		case <-timer.C:
		case ev := <-s.events:
			s.deliver(ctx, ev)
		case <-ledgerChanged:
		case <-configChanged:
		case <-s.cycleRequests:
		case saved := <-s.estimatesState.loaded:
			s.replaceEstimates(saved)
		case q := <-s.startableQueries:
			s.answerStartable(q)
		}
		timer.Stop()
		s.deliverEvents(ctx)
	}
}

// nextCycleDelay returns the time until the next cycle when no event arrives.
func (s *Scheduler) nextCycleDelay() time.Duration {
	if s.wakeAt.IsZero() {
		return maxCycleInterval
	}
	return min(maxCycleInterval, max(eventBatchDelay, s.wakeAt.Sub(s.o.Now())))
}

// deliverEvents delivers the events that arrive within eventBatchDelay.
func (s *Scheduler) deliverEvents(ctx context.Context) {
	timer := time.NewTimer(eventBatchDelay)
	defer timer.Stop()
	for {
		select {
		case ev := <-s.events:
			s.deliver(ctx, ev)
		case <-timer.C:
			return
		case <-ctx.Done():
			return
		}
	}
}

// deliver passes an event to its run. It drops the event when the run has ended or
// belongs to another term.
func (s *Scheduler) deliver(ctx context.Context, ev runEvent) {
	t := s.runs[ev.gang.Job]
	if t == nil || t.run.Gang != ev.gang || ev.term != s.term {
		return
	}
	s.stepRun(ctx, t, ev.event)
}

// stepRun passes an event to a run and executes the actions it returns.
func (s *Scheduler) stepRun(ctx context.Context, t *trackedRun, e Event) {
	before := t.run.Phase
	actions := t.run.Step(s.o.Now(), e)
	s.executeActions(ctx, t, actions)
	if t.run.Phase != before {
		s.o.Logger.Debug("gang changed phase", "job", t.run.Gang.Job, "generation", t.run.Gang.Generation, "phase", t.run.Phase)
	}
	if t.run.Phase == Ended {
		delete(s.runs, t.run.Gang.Job)
		s.requestCycle()
	}
}

func (s *Scheduler) requestCycle() {
	select {
	case s.cycleRequests <- struct{}{}:
	default:
	}
}

// Observe stores an observation of a renewal by this or another entry host. It is
// kept until the ledger no longer lists the gang as live, so that the host which
// schedules next has it too.
func (s *Scheduler) Observe(o Observation) {
	s.mu.Lock()
	if s.observations[o.Gang] == nil {
		s.observations[o.Gang] = make(map[string]Observation)
	}
	s.observations[o.Gang][o.Worker] = o
	s.mu.Unlock()
	s.requestCycle()
}

// WaitReason returns why a queued job waits, as of this host's last decision. ok
// is false when this host does not schedule the failure domain or has no reason
// for the job.
func (s *Scheduler) WaitReason(id job.ID) (reason string, ok bool) {
	if _, _, held := s.o.Election.Term(); !held {
		return "", false
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	reason, ok = s.waitReasons[id.String()]
	return reason, ok
}

// Deficits returns the guarantees that could not be backed as of this host's last
// decision; none when this host does not schedule the failure domain.
func (s *Scheduler) Deficits() []placement.Deficit {
	if _, _, held := s.o.Election.Term(); !held {
		return nil
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.deficits
}
