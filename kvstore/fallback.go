package kvstore

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/cockroachdb/errors"

	"github.com/cyclamentray/cyclamentray/internal/progress"
	"github.com/cyclamentray/cyclamentray/peer"
)

const (
	// directTimeShare is the fraction of a call's remaining time for which the direct
	// attempt may be silent when there are peers to fall back to.
	directTimeShare = 0.5

	// peerTimeShare is the fraction of the time then left that one peer may take.
	peerTimeShare = 0.6

	// probeTimeout bounds one probe that checks whether the store answers this host
	// again; it is longer than the slowest store takes to answer.
	probeTimeout = 500 * time.Millisecond

	maxKeyspacePeers = 2 // peers tried for one call
)

// Fallback is a Keyspace that calls the store directly and makes its calls
// through peers while the store does not answer this host. It remembers whether
// the store is down and which peers failed. It is safe for concurrent use.
type Fallback struct {
	Direct Keyspace
	Peers  peer.Caller
	// Addresses returns the addresses of the peers, without this host.
	Addresses func() []string
	// Metrics, when set, counts calls by operation, way (direct or through a peer)
	// and outcome.
	Metrics *metrics.Set
	// ProbeKey is the key that probes read to check whether the store answers.
	ProbeKey string

	mu          sync.Mutex
	storeDown   bool
	recovered   chan struct{}   // closed when the store answers again; nil unless storeDown
	failedPeers map[string]bool // peers whose last call failed
}

var _ Keyspace = (*Fallback)(nil)

// Get implements Keyspace.
func (f *Fallback) Get(ctx context.Context, key string) (Item, error) {
	reply, err := f.call(ctx, KeyspaceArgs{Op: keyspaceGet, Key: key})
	return reply.Item, err
}

// ListPage implements Keyspace.
func (f *Fallback) ListPage(ctx context.Context, prefix, after string) (Page, error) {
	reply, err := f.call(ctx, KeyspaceArgs{Op: keyspaceList, Key: prefix, After: after})
	return Page{Items: reply.Items, More: reply.More, AsOf: reply.Revision}, err
}

// Watch implements Keyspace.
func (f *Fallback) Watch(ctx context.Context, prefix string, after uint64, wait time.Duration) ([]Event, uint64, error) {
	reply, err := f.call(ctx, KeyspaceArgs{Op: keyspaceWatch, Key: prefix, Revision: after, Wait: wait})
	return reply.Events, reply.Revision, err
}

// Commit implements Keyspace. The transaction may be sent more than once, so a
// conflict may be caused by its own earlier copy.
func (f *Fallback) Commit(ctx context.Context, txn Txn) (uint64, error) {
	reply, err := f.call(ctx, KeyspaceArgs{Op: keyspaceCommit, Txn: txn})
	return reply.Revision, err
}

// Grant implements Keyspace.
func (f *Fallback) Grant(ctx context.Context, ttl time.Duration) (LeaseGrant, error) {
	reply, err := f.call(ctx, KeyspaceArgs{Op: keyspaceGrant, Wait: ttl})
	return reply.Lease, err
}

// Renew implements Keyspace.
func (f *Fallback) Renew(ctx context.Context, id uint64) error {
	_, err := f.call(ctx, KeyspaceArgs{Op: keyspaceRenew, Revision: id})
	return err
}

// Revoke implements Keyspace.
func (f *Fallback) Revoke(ctx context.Context, id uint64) error {
	_, err := f.call(ctx, KeyspaceArgs{Op: keyspaceRevoke, Revision: id})
	return err
}

// call tries the store directly and then through peers, or peers first while
// the store is known to be down for this host. If the store answers this host again
// while peers are tried, a read is tried directly again.
func (f *Fallback) call(ctx context.Context, args KeyspaceArgs) (KeyspaceReply, error) {
	attempts := []func(context.Context, KeyspaceArgs) (KeyspaceReply, error){f.callDirect, f.callPeers, f.callDirect}
	if f.isStoreDown() {
		attempts = attempts[1:]
	}
	ambiguous := false
	var reply KeyspaceReply
	var err error
	for i, attempt := range attempts {
		if again := i == 2; again && (args.writes() || f.isStoreDown()) {
			break
		}
		reply, err = attempt(ctx, args)
		if !unanswered(err) {
			return reply, err
		}
		ambiguous = ambiguous || errors.Is(err, ErrAmbiguous)
	}
	return reply, keepAmbiguity(ambiguous, err)
}

// keepAmbiguity returns the failure of a call whose last attempt failed with err.
// If the outcome of an earlier attempt is unknown, it returns ErrAmbiguous
// without err's kind, since ErrUnavailable would claim that nothing was done.
func keepAmbiguity(ambiguous bool, err error) error {
	if !ambiguous || errors.Is(err, ErrAmbiguous) {
		return err
	}
	return failure(ErrAmbiguous, errors.Newf("no answer to one attempt; the next failed: %v", err))
}

// unanswered reports whether the store gave no answer.
func unanswered(err error) bool {
	return errors.Is(err, ErrUnavailable) || errors.Is(err, ErrAmbiguous)
}

// callDirect calls the store from this host.
func (f *Fallback) callDirect(ctx context.Context, args KeyspaceArgs) (KeyspaceReply, error) {
	if args.Op != keyspaceWatch && len(f.Addresses()) > 0 {
		var cancel context.CancelFunc
		ctx, cancel = withSilenceShare(ctx, directTimeShare)
		defer cancel()
	}
	if args.Op == keyspaceWatch {
		// A watch's connection may never deliver an answer. The probe uses a connection
		// of its own; when it succeeds, the watch is given up unless its answer arrives.
		var cancel context.CancelFunc
		watch := ctx
		ctx, cancel = f.untilRecovered(watch, func() bool { return !progress.Arrived(watch) })
		defer cancel()
	}
	reply, err := callKeyspace(ctx, f.Direct, args)
	f.count(args.Op, "direct", err)
	if unanswered(err) && !errors.Is(context.Cause(ctx), context.Canceled) {
		f.markStoreDown()
	}
	return reply, err
}

// withSilenceShare bounds the time in which nothing arrives to a fraction of the time that
// ctx has left. An answer that is on its way isn't given up: a peer's would take longer.
func withSilenceShare(ctx context.Context, share float64) (context.Context, context.CancelFunc) {
	deadline, ok := ctx.Deadline()
	if !ok {
		return context.WithCancel(ctx)
	}
	return progress.WithLimit(ctx, time.Duration(float64(time.Until(deadline))*share))
}

// withTimeShare bounds ctx to a fraction of the time it has left.
func withTimeShare(ctx context.Context, share float64) (context.Context, context.CancelFunc) {
	deadline, ok := ctx.Deadline()
	if !ok {
		return context.WithCancel(ctx)
	}
	return context.WithTimeout(ctx, time.Duration(float64(time.Until(deadline))*share))
}

// callPeers tries a few peers in turn until one reaches the store.
func (f *Fallback) callPeers(ctx context.Context, args KeyspaceArgs) (KeyspaceReply, error) {
	var reply KeyspaceReply
	err := errors.Wrap(ErrUnavailable, "no peer to call")
	ambiguous := false
	for i, address := range f.peersToTry() {
		if i > 0 && !args.writes() && !f.isStoreDown() {
			break // the call that was given up for that is made directly
		}
		reply, err = f.callPeer(ctx, address, args)
		if !unanswered(err) {
			return reply, err
		}
		ambiguous = ambiguous || errors.Is(err, ErrAmbiguous)
	}
	return reply, keepAmbiguity(ambiguous, err)
}

// peersToTry returns up to maxKeyspacePeers peers in random order, but those
// whose last call failed come last. When all have failed, it forgets the failures.
func (f *Fallback) peersToTry() []string {
	addresses := f.Addresses()
	rand.Shuffle(len(addresses), func(i, j int) { addresses[i], addresses[j] = addresses[j], addresses[i] })
	f.mu.Lock()
	defer f.mu.Unlock()
	var answering, failed []string
	for _, a := range addresses {
		if f.failedPeers[a] {
			failed = append(failed, a)
			continue
		}
		answering = append(answering, a)
	}
	if len(answering) == 0 {
		clear(f.failedPeers)
	}
	all := append(answering, failed...)
	return all[:min(maxKeyspacePeers, len(all))]
}

// callPeer makes a call through one peer. A call that writes nothing ends early
// when the store answers this host again.
func (f *Fallback) callPeer(ctx context.Context, address string, args KeyspaceArgs) (KeyspaceReply, error) {
	if args.Op != keyspaceWatch {
		var cancel context.CancelFunc
		ctx, cancel = withTimeShare(ctx, peerTimeShare)
		defer cancel()
	}
	if !args.writes() {
		var cancel context.CancelFunc
		ctx, cancel = f.untilRecovered(ctx, func() bool { return true })
		defer cancel()
	}
	var reply KeyspaceReply
	err := f.Peers.Call(ctx, address, "Keyspace.Do", &args, &reply)
	f.count(args.Op, "peer", err)
	if err == nil {
		err = replyError(reply)
		f.recordPeer(address, unanswered(err))
		return reply, err
	}
	f.recordPeer(address, true)
	if args.writes() && !errors.Is(err, peer.ErrNotSent) {
		return reply, failure(ErrAmbiguous, err)
	}
	return reply, failure(ErrUnavailable, err)
}

// count counts one attempt at a call; way is "direct" or "peer".
func (f *Fallback) count(op keyspaceOp, way string, err error) {
	if f.Metrics == nil {
		return
	}
	outcome := "ok"
	if err != nil {
		outcome = failureName(err)
	}
	if !outcomeLabels[outcome] {
		outcome = "other"
	}
	f.Metrics.GetOrCreateCounter(fmt.Sprintf(`cyclamentray_store_calls_total{op=%q,way=%q,outcome=%q}`, op, way, outcome)).Inc()
}

// outcomeLabels is the fixed set of values of the metric's outcome label; others
// are counted as "other".
var outcomeLabels = func() map[string]bool {
	known := map[string]bool{"ok": true}
	for _, f := range failureNames {
		known[f.name] = true
	}
	return known
}()

func (f *Fallback) recordPeer(address string, failed bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.failedPeers == nil {
		f.failedPeers = make(map[string]bool)
	}
	f.failedPeers[address] = failed
}

func (f *Fallback) isStoreDown() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.storeDown
}

// untilRecovered returns a context that also ends when the store answers again, if giveUp
// returns true then.
func (f *Fallback) untilRecovered(ctx context.Context, giveUp func() bool) (context.Context, context.CancelFunc) {
	ctx, cancel := context.WithCancel(ctx)
	f.mu.Lock()
	recovered := f.recovered
	f.mu.Unlock()
	if recovered == nil {
		return ctx, cancel
	}
	go func() {
		select {
		case <-recovered:
			if giveUp() {
				cancel()
			}
		case <-ctx.Done():
		}
	}()
	return ctx, cancel
}

// markStoreDown records that the store does not answer this host and starts the
// probes that detect its recovery.
func (f *Fallback) markStoreDown() {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.storeDown {
		return
	}
	f.storeDown = true
	f.recovered = make(chan struct{})
	go f.probeUntilRecovered()
}

// probeUntilRecovered probes the store until it answers, then clears storeDown.
func (f *Fallback) probeUntilRecovered() {
	for {
		time.Sleep(RetryInterval(len(f.Addresses()) + 1))
		ctx, cancel := context.WithTimeout(context.Background(), probeTimeout)
		_, err := f.Direct.Get(ctx, f.ProbeKey)
		cancel()
		if unanswered(err) {
			continue
		}
		f.mu.Lock()
		f.storeDown = false
		close(f.recovered)
		f.recovered = nil
		f.mu.Unlock()
		return
	}
}
