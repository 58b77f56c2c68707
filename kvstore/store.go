// Package kvstore is the client of the platform's services: a small key-value
// store with compare-and-swap, leases and watches, and a host list that lags. Two
// interfaces describe the store: Store, with one value per operation, and Keyspace,
// with transactions and prefixes. The package holds no stored data itself, only
// connections, a call budget, whether the platform answers, and the last entries of
// watched keys. Entry hosts and batch hosts call the platform through it, and make
// calls for each other while one of them cannot reach the platform.
package kvstore

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"
)

// MaxValueBytes is the size limit of a value, in bytes.
const MaxValueBytes = 1 << 20

// The failures of the store. Compare them with errors.Is.
var (
	// ErrNotFound means that the key holds no value.
	ErrNotFound = errors.New("platform: key not found; check the key or create it")
	// ErrConflict means that the key changed since the expected version; read it again.
	ErrConflict = errors.New("platform: key is at another version; read it again and retry")
	// ErrUnavailable means that the store was not reached and nothing was written.
	ErrUnavailable = errors.New("platform: store unavailable; retry after a back-off")
	// ErrAmbiguous means that a write may or may not have taken effect, and
	// reading the key back did not show which.
	ErrAmbiguous = errors.New("platform: outcome of the write is unknown; read the key before retrying")
	// ErrLeaseLost means that the lease has lapsed or was revoked.
	ErrLeaseLost = errors.New("platform: lease lost; stop acting under it and acquire a new one")
	// ErrHeld means that another lease holds the key.
	ErrHeld = errors.New("platform: key is held by another lease; wait for it to lapse")
)

// callError is the error of a failed call: one of the failures above and its cause.
type callError struct{ kind, cause error }

func (e *callError) Error() string   { return e.kind.Error() + ": " + e.cause.Error() }
func (e *callError) Unwrap() []error { return []error{e.kind, e.cause} }

// failure returns kind with its cause, or nil when there is no cause.
func failure(kind, cause error) error {
	if cause == nil {
		return nil
	}
	return &callError{kind: kind, cause: cause}
}

// Entry is a key's value at one version.
type Entry struct {
	Key     string
	Value   []byte
	Version uint64 // grows with every write to the store; 0: the key does not exist
	Lease   string // ID of the lease that holds the key; empty: none
	Nonce   uint64 // of the write that made this version; 0: none
}

// Lease is a lease of a Store. It lapses unless renewed within TTL.
type Lease struct {
	ID  string
	TTL time.Duration
}

// Store is the platform's key-value service. Implementations are safe for
// concurrent use. Every method honours ctx's deadline.
type Store interface {
	// Get reads one key. It returns ErrNotFound or ErrUnavailable.
	Get(ctx context.Context, key string) (Entry, error)
	// CompareAndSwap writes value if the key is at version; version 0 creates
	// it. It returns the new entry, ErrConflict, ErrUnavailable or ErrAmbiguous.
	CompareAndSwap(ctx context.Context, key string, value []byte, version uint64) (Entry, error)
	// Watch waits until the key's version differs from after, or until ctx or
	// the store's own wait ends, and returns the key's entry then. A missing
	// key is an entry at version 0.
	Watch(ctx context.Context, key string, after uint64) (Entry, error)
	// Grant creates a lease that lapses ttl after its last renewal.
	Grant(ctx context.Context, ttl time.Duration) (Lease, error)
	// Renew extends a lease. It returns ErrLeaseLost once it has lapsed.
	Renew(ctx context.Context, lease Lease) error
	// Revoke ends a lease and frees the keys it holds.
	Revoke(ctx context.Context, lease Lease) error
	// Acquire writes value to a key and holds it under the lease. The entry's
	// version is larger than that of any earlier holder, so it serves as a
	// fencing term. It returns ErrHeld when another lease holds the key.
	Acquire(ctx context.Context, key string, value []byte, lease Lease) (Entry, error)
}

// Deleter is implemented by a Store that can delete keys.
type Deleter interface {
	// Delete removes a key whatever its version. A missing key is no error.
	Delete(ctx context.Context, key string) error
}

// HostKind is the role of a listed host.
type HostKind string

// The kinds of host.
const (
	EntryHost HostKind = "entry"
	Worker    HostKind = "worker"
	Upstream  HostKind = "upstream"
)

// Host is one entry of the platform's host list.
type Host struct {
	Name          string   `json:"name"`
	Kind          HostKind `json:"kind"`
	FailureDomain string   `json:"failureDomain"`
	Rack          string   `json:"rack,omitempty"`
	Address       string   `json:"address"`           // IP:port of its HTTP listener
	PeerAddress   string   `json:"peer,omitempty"`    // entry hosts: IP:port of net/rpc
	Service       string   `json:"service,omitempty"` // upstreams: the service it runs
	Accelerators  int      `json:"accelerators,omitempty"`
	Slots         int      `json:"slots,omitempty"`       // upstreams: requests served at once
	Connections   int      `json:"connections,omitempty"` // upstreams: limit of connections; 0: no limit
	Leaving       bool     `json:"leaving,omitempty"`     // the host gets no new work
}

// HostLister reads the platform's host list, which lags behind the actual state.
type HostLister interface {
	// Hosts returns the listed hosts.
	Hosts(ctx context.Context) ([]Host, error)
}

// HostWatcher is a HostLister that can also wait for a change, so that a long list
// is sent only when it changed.
type HostWatcher interface {
	HostLister
	// WatchHosts waits until the list's index differs from after, or until ctx
	// or the store's own wait ends. hosts is nil when the list is unchanged.
	WatchHosts(ctx context.Context, after uint64) (hosts []Host, index uint64, err error)
}
