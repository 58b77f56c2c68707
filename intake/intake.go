// Package intake takes jobs from callers, keeps them in the ledger, and tells
// callers what became of them. Any entry host takes any job.
package intake

import (
	"context"
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/charmbracelet/log"

	"github.com/cyclamentray/cyclamentray/config"
	"github.com/cyclamentray/cyclamentray/election"
	"github.com/cyclamentray/cyclamentray/intake/ledger"
	"github.com/cyclamentray/cyclamentray/internal/defaults"
	"github.com/cyclamentray/cyclamentray/job"
	"github.com/cyclamentray/cyclamentray/membership"
	"github.com/cyclamentray/cyclamentray/peer"
)

const (
	// DefaultRetention is how long ended jobs are kept.
	DefaultRetention = 24 * time.Hour
	// ledgerTimeout bounds a caller's wait for the ledger.
	ledgerTimeout = 8 * time.Second
	// maintenanceInterval is the time between two rounds of pruning and moving.
	maintenanceInterval = 2 * time.Second
)

// Options configures an Intake.
type Options struct {
	FailureDomain string
	Ledgers       *ledger.Ledgers
	Config        config.Source
	Membership    membership.Source
	Election      election.Holder
	// HoldReason tells why a queued job of this failure domain waits; nil: unknown.
	HoldReason func(job.ID) (reason string, ok bool)
	// HasScheduler tells whether a failure domain has a scheduler; nil: all have.
	HasScheduler func(failureDomain string) bool
	// SelectStartable tells which queued jobs of other failure domains this one could
	// start at once; nil: none.
	SelectStartable func(ctx context.Context, records []job.Record) []job.ID
	Peers           peer.Caller   // nil: this entry host is alone
	Retention       time.Duration // 0: DefaultRetention
	Now             func() time.Time
	Logger          *log.Logger
	Metrics         *metrics.Set
}

func (o Options) withDefaults() Options {
	if o.HoldReason == nil {
		o.HoldReason = func(job.ID) (string, bool) { return "", false }
	}
	if o.HasScheduler == nil {
		o.HasScheduler = func(string) bool { return true }
	}
	if o.Retention == 0 {
		o.Retention = DefaultRetention
	}
	o.Now = defaults.Now(o.Now)
	o.Logger = defaults.Logger(o.Logger)
	o.Metrics = defaults.Metrics(o.Metrics)
	return o
}

// Intake serves callers' job calls. It is safe for concurrent use.
type Intake struct {
	o     Options
	loads *loadCache

	submitted *metrics.Counter
	refused   *metrics.Counter

	lastPull time.Time // last look at other failure domains' queues; owned by Keep

	mu               sync.Mutex
	notStartingSince map[string]time.Time // failure domain to the moment since which it starts nothing
}

// New returns an intake; Run prunes and moves jobs.
func New(o Options) *Intake {
	o = o.withDefaults()
	return &Intake{
		o:                o,
		loads:            newLoadCache(o),
		submitted:        o.Metrics.GetOrCreateCounter("cyclamentray_intake_submitted_total"),
		refused:          o.Metrics.GetOrCreateCounter("cyclamentray_intake_refused_total"),
		notStartingSince: make(map[string]time.Time),
	}
}

// Run prunes ended jobs of this failure domain, moves queued ones away from
// failure domains that start nothing, and takes over those that could start
// here at once, until ctx ends. Only the host that holds the failure domain's
// term does so.
func (in *Intake) Run(ctx context.Context) error {
	ticker := time.NewTicker(maintenanceInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
		}
		in.Maintain(ctx)
	}
}

// Maintain does one round of pruning and moving, if this host holds the term. Only
// Run, or a test without it, calls it.
func (in *Intake) Maintain(ctx context.Context) {
	if _, _, held := in.o.Election.Term(); !held {
		return
	}
	in.prune(ctx)
	in.moveQueuedJobs(ctx)
	in.pull(ctx)
}
