// Package gang runs gangs as one unit. The scheduler of a failure domain
// reserves, starts, checkpoints and stops them under its term; every entry host
// renews the leases of a share of them, which needs no term.
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
	maxCycleInterval   = time.Second            // between two decisions without any event
	eventBatchDelay    = 10 * time.Millisecond  // events that come together are decided together
	unansweredCooldown = 15 * time.Second       // a worker that did not answer gets no new gang for so long
	eventBufferSize    = 1024                   // answers waiting for the loop
	peerCallTimeout    = 900 * time.Millisecond // of one call to an entry host
)

// Options configures a Scheduler.
type Options struct {
	FailureDomain string
	Ledger        *ledger.Jobs // of the failure domain; somebody runs it
	Config        config.Source
	Membership    membership.Source
	Election      election.Holder
	Workers       WorkerCaller // nil: HTTP
	Peers         peer.Caller  // nil: this entry host is alone
	Decide        func(placement.View) placement.Plan
	Notes         *ledger.Notes // keeps learned run times over schedulers; nil: they are not kept
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

// trackedRun is a run and what the scheduler knows of its job.
type trackedRun struct {
	run            *Run
	record         job.Record // as placed or adopted
	outcomeCounted bool       // its outcome was learned from
	fatalReason    string     // why the job itself fails; empty: it may run again
}

// runEvent is an event for a run, on its way to the loop.
type runEvent struct {
	gang  workerapi.Gang
	term  uint64
	event Event
}

// Scheduler places, starts and stops the gangs of one failure domain while
// this host holds its term, and renews this host's share of leases always.
// Its exported methods are safe for concurrent use; the loop in Run owns the rest.
type Scheduler struct {
	o                Options
	permit           Permit
	renewer          *renewer
	events           chan runEvent
	startableQueries chan startableQuery
	cycleRequests    chan struct{}
	ioCalls          sync.WaitGroup // I/O under way
	taskListings     singleflight.Group

	// Owned by the loop.
	term           uint64
	runs           map[string]*trackedRun
	wakeAt         time.Time
	retries        map[string]startRetry // jobs whose last start failed
	estimates      *placement.Estimates
	quarantine     *placement.Quarantine
	estimatesState estimatesState

	mu           sync.Mutex
	endWrites    map[string]bool      // queued jobs whose end is being recorded
	unanswered   map[string]time.Time // worker to the last unanswered message
	observations map[workerapi.Gang]map[string]Observation
	waitReasons  map[string]string // job to the reason it waits
	deficits     []placement.Deficit

	metrics schedulerMetrics
}

// New returns a scheduler; it acts once Run is called.
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

// Run schedules and renews until ctx ends, then waits for I/O under way.
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
		case d := <-s.events:
			s.deliver(ctx, d)
		case <-ledgerChanged:
		case <-configChanged:
		case <-s.cycleRequests:
		case note := <-s.estimatesState.loaded:
			s.replaceEstimates(note)
		case o := <-s.startableQueries:
			s.answerStartable(o)
		}
		timer.Stop()
		s.deliverEvents(ctx)
	}
}

// nextCycleDelay returns how long to sleep when nothing happens.
func (s *Scheduler) nextCycleDelay() time.Duration {
	if s.wakeAt.IsZero() {
		return maxCycleInterval
	}
	return min(maxCycleInterval, max(eventBatchDelay, s.wakeAt.Sub(s.o.Now())))
}

// deliverEvents delivers the events that come within a short time.
func (s *Scheduler) deliverEvents(ctx context.Context) {
	timer := time.NewTimer(eventBatchDelay)
	defer timer.Stop()
	for {
		select {
		case d := <-s.events:
			s.deliver(ctx, d)
		case <-timer.C:
			return
		case <-ctx.Done():
			return
		}
	}
}

func (s *Scheduler) deliver(ctx context.Context, d runEvent) {
	t := s.runs[d.gang.Job]
	if t == nil || t.run.Gang != d.gang || d.term != s.term {
		return
	}
	s.stepRun(ctx, t, d.event)
}

// stepRun feeds an event to a run and starts what it asks for.
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

// Observe takes what a renewal taught, here or on another entry host. It is
// kept until the ledger moves on, so that whichever host schedules next has it.
func (s *Scheduler) Observe(o Observation) {
	s.mu.Lock()
	if s.observations[o.Gang] == nil {
		s.observations[o.Gang] = make(map[string]Observation)
	}
	s.observations[o.Gang][o.Worker] = o
	s.mu.Unlock()
	s.requestCycle()
}

// WaitReason returns why a queued job waits, as of the last decision here. ok is
// false when this host does not schedule the failure domain or does not know.
func (s *Scheduler) WaitReason(id job.ID) (reason string, ok bool) {
	if _, _, held := s.o.Election.Term(); !held {
		return "", false
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	reason, ok = s.waitReasons[id.String()]
	return reason, ok
}

// Deficits returns the guarantees that the last decision here could not back;
// none when this host does not schedule the failure domain.
func (s *Scheduler) Deficits() []placement.Deficit {
	if _, _, held := s.o.Election.Term(); !held {
		return nil
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.deficits
}
