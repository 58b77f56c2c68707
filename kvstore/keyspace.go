package kvstore

import (
	"context"
	"fmt"
	"time"

	"github.com/cockroachdb/errors"
)

// MaxTxnEntries is the most conditions, puts and deletes, counted together, that
// one transaction may have.
const MaxTxnEntries = 32

// ErrCompacted means that the store has compacted the history that a watch asked
// for; list the prefix again.
var ErrCompacted = errors.New("kvstore: history has been compacted; list the prefix again")

// Item is a key with its latest value.
type Item struct {
	Key      string
	Value    []byte
	Revision uint64 // of its last change
	Lease    uint64 // 0: none
}

// Event is a change of a key.
type Event struct {
	Item
	Deleted bool
}

// Condition requires that a key's last change is at Revision, or that the key does
// not exist if Revision is 0.
type Condition struct {
	Key      string
	Revision uint64
}

// Put writes one key.
type Put struct {
	Key   string
	Value []byte
	Lease uint64 // 0: none
}

// Txn is an atomic transaction: if all conditions in If hold, all puts and deletes
// are applied; otherwise none.
type Txn struct {
	If      []Condition
	Puts    []Put
	Deletes []string
}

// ConflictError means that a condition did not hold and nothing was written.
type ConflictError struct {
	Items []Item // current state of the conditions' keys; a missing key has revision 0
}

func (e *ConflictError) Error() string {
	return fmt.Sprintf("kvstore: transaction conflict: at least one of the conditions on %d keys does not hold; read the keys again", len(e.Items))
}

// Is makes errors.Is(err, ErrConflict) hold.
func (e *ConflictError) Is(target error) bool { return target == ErrConflict }

// LeaseGrant is a lease of a Keyspace. Keys written under it are removed when it
// ends.
type LeaseGrant struct {
	ID  uint64
	TTL time.Duration
}

// Keyspace is a store of keys with transactions, prefixes and leases.
// Implementations are safe for concurrent use; every method honours ctx.
// Errors are ErrUnavailable (nothing was done), ErrAmbiguous (the operation may
// have taken effect, or may do so later), and those named at each method.
type Keyspace interface {
	// Get reads one key; ErrNotFound when it does not exist.
	Get(ctx context.Context, key string) (Item, error)
	// ListPage reads the first items under prefix whose keys follow after, as many as one
	// answer holds.
	ListPage(ctx context.Context, prefix, after string) (Page, error)
	// Watch waits up to wait for changes under prefix later than after.
	// It returns ErrCompacted when that history has been compacted.
	Watch(ctx context.Context, prefix string, after uint64, wait time.Duration) (events []Event, asOf uint64, err error)
	// Commit applies a transaction and returns its revision, a *ConflictError,
	// or ErrLeaseLost when a put names a lease that has ended.
	Commit(ctx context.Context, txn Txn) (revision uint64, err error)
	// Grant creates a lease.
	Grant(ctx context.Context, ttl time.Duration) (LeaseGrant, error)
	// Renew extends a lease; ErrLeaseLost once it has ended.
	Renew(ctx context.Context, id uint64) error
	// Revoke ends a lease and removes its keys.
	Revoke(ctx context.Context, id uint64) error
}
