// Package intake accepts jobs from callers, stores them in the ledger, and reports
// their state. Any entry host accepts any job; callers use the HTTP calls that
// Register adds. On the host that holds a failure domain's term as its scheduler
// (see package election), Run prunes ended jobs and moves queued ones between
// failure domains. The jobs are in the platform's store; an Intake itself keeps
// only cached loads and the times at which failure domains stopped starting jobs.
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
	// DefaultRetention is how long the records of ended jobs are kept.
	DefaultRetention = 24 * time.Hour
	// ledgerTimeout limits how long a caller waits for the ledger.
	ledgerTimeout = 8 * time.Second
	// maintenanceInterval is the time between two calls of Maintain.
	maintenanceInterval = 2 * time.Second
)

// Options configures an Intake.
type Options struct {
	FailureDomain string
	Ledgers       *ledger.Ledgers
	Config        config.Source
	Membership    membership.Source
	Election      election.Holder
	// WaitReason returns why a queued job of this failure domain waits; nil: unknown.
	WaitReason func(job.ID) (reason string, ok bool)
	// HasScheduler reports whether a failure domain has a scheduler; nil: all have.
	HasScheduler func(failureDomain string) bool
	// SelectStartable returns which queued jobs of other failure domains this one
	// could start at once; nil: none.
	SelectStartable func(ctx context.Context, records []job.Record) []job.ID
	Peers           peer.Caller   // nil: this entry host is alone
	Retention       time.Duration // 0: DefaultRetention
	Now             func() time.Time
	Logger          *log.Logger
	Metrics         *metrics.Set
}

func (o Options) withDefaults() Options {
	if o.WaitReason == nil {
		o.WaitReason = func(job.ID) (string, bool) { return "", false }
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

// Intake serves the calls about jobs. It is safe for concurrent use.
type Intake struct {
	o     Options
	loads *loadCache

	submitted *metrics.Counter
	refused   *metrics.Counter

	lastPull time.Time // last read of other failure domains' queues; used by Maintain only

	mu               sync.Mutex
	notStartingSince map[string]time.Time // by failure domain: time since which it is known to start nothing
}

// New returns an intake. It does not prune or move jobs before Run is called.
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

// Run calls Maintain periodically until ctx ends.
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

// Maintain prunes ended jobs of this failure domain, moves queued jobs away from
// failure domains that start nothing, and moves those here that could start at
// once. It does nothing unless this host holds the failure domain's term. It is
// not safe for concurrent use: only Run calls it, or a test that does not use Run.
func (in *Intake) Maintain(ctx context.Context) {
	if _, _, held := in.o.Election.Term(); !held {
		return
	}
	in.prune(ctx)
	in.moveQueuedJobs(ctx)
	in.pull(ctx)
}
