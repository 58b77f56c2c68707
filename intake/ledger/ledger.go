// Package ledger keeps jobs in the platform's store: for each failure domain a
// few values that hold many records each, written in groups, and one index that
// tells which failure domain's ledger has a job.
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
	// MaxShardEntries bounds the entries of one shard, so that its value stays under 1 MB.
	MaxShardEntries = 5000
)

var errFull = apierr.New(apierr.Overloaded,
	"the job ledger is full", "wait until ended jobs are pruned, then submit again under the same name")

// Claim says which failure domain a job was first given to.
type Claim struct {
	FailureDomain string    `json:"failureDomain"`
	Digest        string    `json:"digest"` // of the spec as submitted
	At            time.Time `json:"at"`
}

// Digest identifies a spec's content.
func Digest(spec job.Spec) string {
	plain, err := json.Marshal(spec)
	if err != nil {
		return ""
	}
	sum := sha256.Sum256(plain)
	return hex.EncodeToString(sum[:8])
}

// Jobs is one failure domain's ledger, by job.ID as a string.
type Jobs = Table[job.Record]

// Index maps a job.ID as a string to its claim.
type Index = Table[Claim]

// Notes keeps what schedulers learned, by a name that the scheduler chooses.
type Notes = Table[json.RawMessage]

// Options configures a Ledgers.
type Options struct {
	Store         kvstore.Store
	Shards        int           // 0: DefaultShards; the same on every host
	WriteInterval time.Duration // 0: DefaultGap
	Now           func() time.Time
	Logger        *log.Logger
	Metrics       *metrics.Set
}

// Ledgers gives the ledgers of all failure domains and the index over them.
// It is safe for concurrent use.
type Ledgers struct {
	o     Options
	index *Index
	notes *Notes
	mu    sync.Mutex
	jobs  map[string]*Jobs
}

// New returns the ledgers kept in a store. Nothing is read yet.
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

// Index returns the index over all failure domains.
func (b *Ledgers) Index() *Index { return b.index }

// Store returns the store that holds the ledgers.
func (b *Ledgers) Store() kvstore.Store { return b.o.Store }

// Notes returns what schedulers learned.
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

// Run keeps the ledger of one failure domain fresh until ctx ends.
func (b *Ledgers) Run(ctx context.Context, failureDomain string) error {
	return b.Jobs(failureDomain).Run(ctx)
}
