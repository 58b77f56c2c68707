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

// Claim is a job's entry in the index: it claims the job's ID for one spec, and
// names the failure domain whose ledger holds the job.
type Claim struct {
	FailureDomain string    `json:"failureDomain"`
	Digest        string    `json:"digest"` // of the spec as submitted
	At            time.Time `json:"at"`     // when the ID was claimed
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
	l := &Ledgers{o: o, jobs: make(map[string]*Jobs)}
	l.index = NewTable[Claim](l.tableOptions(indexPrefix))
	l.notes = NewTable[json.RawMessage](l.tableOptions(notesPrefix))
	return l
}

func (l *Ledgers) tableOptions(prefix string) TableOptions {
	return TableOptions{
		Store: l.o.Store, Prefix: prefix, Shards: l.o.Shards, WriteInterval: l.o.WriteInterval,
		Now: l.o.Now, Logger: l.o.Logger, Metrics: l.o.Metrics,
	}
}

// Index returns the index of the jobs of all failure domains.
func (l *Ledgers) Index() *Index { return l.index }

// Store returns the store that holds the ledgers.
func (l *Ledgers) Store() kvstore.Store { return l.o.Store }

// Notes returns the table of the estimates that schedulers learn.
func (l *Ledgers) Notes() *Notes { return l.notes }

// Jobs returns a failure domain's ledger.
func (l *Ledgers) Jobs(failureDomain string) *Jobs {
	l.mu.Lock()
	defer l.mu.Unlock()
	t := l.jobs[failureDomain]
	if t == nil {
		t = NewTable[job.Record](l.tableOptions(jobsPrefix + failureDomain))
		l.jobs[failureDomain] = t
	}
	return t
}

// Run keeps the snapshot of one failure domain's ledger current until ctx ends.
func (l *Ledgers) Run(ctx context.Context, failureDomain string) error {
	return l.Jobs(failureDomain).Run(ctx)
}
