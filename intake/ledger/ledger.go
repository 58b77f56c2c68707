// Package ledger stores jobs in the platform's store. Each failure domain has a
// ledger: a few values that hold many records each and are written in groups. One
// index maps a job to the failure domain whose ledger holds it. The package caches
// the values last read or written. Package intake writes submissions,
// cancellations and moves to the ledgers, and the schedulers in package gang write
// the progress of jobs.
package ledger

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/charmbracelet/log"

	"github.com/cyclamentray/cyclamentray/apierr"
	"github.com/cyclamentray/cyclamentray/job"
	"github.com/cyclamentray/cyclamentray/kvstore"
)

const (
	indexPrefix = "cyclamentray/jobs/index"
	jobsPrefix  = "cyclamentray/jobs/ledger/"
	notesPrefix = "cyclamentray/jobs/notes"
	// MaxShardEntries limits the entries of one shard, so that its value stays under 1 MB.
	MaxShardEntries = 5000
)

var errFull = apierr.New(apierr.Overloaded,
	"the job ledger is full", "wait until ended jobs are pruned, then submit again under the same name")

// Claim is the index entry of a job: it binds the job to its spec and to the failure
// domain whose ledger holds it.
type Claim struct {
	FailureDomain string    `json:"failureDomain"`
	Digest        string    `json:"digest"` // of the spec as submitted
	At            time.Time `json:"at"`
}

// Digest returns a hash of a spec's content.
func Digest(spec job.Spec) string {
	plain, err := json.Marshal(spec)
	if err != nil {
		return ""
	}
	sum := sha256.Sum256(plain)
	return hex.EncodeToString(sum[:8])
}

// Jobs is the ledger of one failure domain. It maps a job.ID as a string to the
// job's record.
type Jobs = Table[job.Record]

// Index maps a job.ID as a string to its claim.
type Index = Table[Claim]

// Notes stores the estimates that schedulers learn, by names that the scheduler
// chooses.
type Notes = Table[json.RawMessage]

// Options configures Ledgers.
type Options struct {
	Store         kvstore.Store
	Shards        int           // 0: DefaultShards; the same on every host
	WriteInterval time.Duration // minimum time between two writes of a shard; 0: DefaultWriteInterval
	Now           func() time.Time
	Logger        *log.Logger
	Metrics       *metrics.Set
}

// Ledgers provides the ledgers of all failure domains, their index and the notes.
// It is safe for concurrent use.
type Ledgers struct {
	o     Options
	index *Index
	notes *Notes
	mu    sync.Mutex
	jobs  map[string]*Jobs
}

// New returns the ledgers in a store. It reads nothing from the store.
func New(o Options) *Ledgers {
	b := &Ledgers{o: o, jobs: make(map[string]*Jobs)}
	b.index = NewTable[Claim](b.table(indexPrefix))
	b.notes = NewTable[json.RawMessage](b.table(notesPrefix))
	return b
}

func (b *Ledgers) table(prefix string) TableOptions {
	return TableOptions{
		Store: b.o.Store, Prefix: prefix, Shards: b.o.Shards, WriteInterval: b.o.WriteInterval,
		Now: b.o.Now, Logger: b.o.Logger, Metrics: b.o.Metrics,
	}
}

// Index returns the index of the jobs of all failure domains.
func (b *Ledgers) Index() *Index { return b.index }

// Store returns the store that holds the ledgers.
func (b *Ledgers) Store() kvstore.Store { return b.o.Store }

// Notes returns the table of the estimates that schedulers learn.
func (b *Ledgers) Notes() *Notes { return b.notes }

// Jobs returns a failure domain's ledger.
func (b *Ledgers) Jobs(failureDomain string) *Jobs {
	b.mu.Lock()
	defer b.mu.Unlock()
	t := b.jobs[failureDomain]
	if t == nil {
		t = NewTable[job.Record](b.table(jobsPrefix + failureDomain))
		b.jobs[failureDomain] = t
	}
	return t
}

// Run keeps the snapshot of one failure domain's ledger current until ctx ends.
func (b *Ledgers) Run(ctx context.Context, failureDomain string) error {
	return b.Jobs(failureDomain).Run(ctx)
}
