package intake

import (
	"context"
	"sync"
	"time"

	"github.com/charmbracelet/log"

	"github.com/cyclamentray/cyclamentray/batch"
	"github.com/cyclamentray/cyclamentray/batch/ledger"
	"github.com/cyclamentray/cyclamentray/internal/steady"
	"github.com/cyclamentray/cyclamentray/peer"
)

const (
	// leaderTimeout limits one call to the leader: a few hundred times the network
	// latency between failure domains, yet short for the caller that waits.
	leaderTimeout = 150 * time.Millisecond

	// leaderRetryInterval is how long a leader that did not answer is not called
	// again: about the time until another host leads.
	leaderRetryInterval = time.Second
)

// StateArgs is the request for the state of the job with the given ID.
type StateArgs struct{ ID string }

// StateReply is the state of a job in the called host's replica.
type StateReply struct {
	Known bool
	State batch.State
}

// PendingArgs is the request for the number of a queue's jobs that have not started.
type PendingArgs struct{ Queue string }

// StateService serves other hosts from this host's replica. It is registered as "Jobs".
type StateService struct{ Replica *ledger.Replica }

// State replies with the state of one job.
func (s *StateService) State(args StateArgs, reply *StateReply) error {
	entry, known := s.Replica.Job(args.ID)
	if known {
		*reply = StateReply{Known: true, State: entry.State()}
	}
	return nil
}

// Pending replies with the number of a queue's jobs that have not started.
func (s *StateService) Pending(args PendingArgs, reply *int) error {
	*reply = s.Replica.PendingJobs(args.Queue)
	return nil
}

// LeaderClient queries the replica of the leading host. The leader applies the
// store's changes without a pause; the other hosts read them in batches. It is
// safe for concurrent use.
type LeaderClient struct {
	Replica *ledger.Replica
	Peers   peer.Caller
	Host    string // this host; it does not call itself
	Log     *log.Logger
	Now     func() steady.Time // nil: steady.Now

	mu      sync.Mutex
	retryAt steady.Time // the leader is not called before this time; 0: no call has failed
}

// State returns the state of a job in the leader's replica; ok is false when the
// leader can't be called or its replica lacks the job.
func (l *LeaderClient) State(ctx context.Context, id string) (state batch.State, ok bool) {
	var reply StateReply
	if !l.call(ctx, "Jobs.State", StateArgs{ID: id}, &reply) {
		return "", false
	}
	return reply.State, reply.Known
}

// Pending returns the number of a queue's jobs that have not started in the
// leader's replica; ok is false when the leader can't be called.
func (l *LeaderClient) Pending(ctx context.Context, queue string) (n int, ok bool) {
	ok = l.call(ctx, "Jobs.Pending", PendingArgs{Queue: queue}, &n)
	return n, ok
}

// call calls a method of the leader and reports whether the leader answered. If
// not, the caller uses this host's replica, which lags a fraction of a second.
func (l *LeaderClient) call(ctx context.Context, method string, args, reply any) bool {
	address := l.leaderAddress()
	if address == "" || l.now().Before(l.nextRetry()) {
		return false
	}
	ctx, cancel := context.WithTimeout(ctx, leaderTimeout)
	defer cancel()
	if err := l.Peers.Call(ctx, address, method, args, reply); err != nil {
		l.Log.Debug("leader did not answer; using the local replica for a while", "leader", address, "err", err)
		l.delayRetry(l.now().Add(leaderRetryInterval))
		return false
	}
	return true
}

// leaderAddress returns the leader's address, or "" if this host leads or the
// leader's address is unknown.
func (l *LeaderClient) leaderAddress() string {
	name := l.Replica.Leader().HostName()
	if name == l.Host {
		return ""
	}
	return l.Replica.Hosts()[name].Address
}

func (l *LeaderClient) now() steady.Time {
	if l.Now == nil {
		return steady.Now()
	}
	return l.Now()
}

func (l *LeaderClient) nextRetry() steady.Time {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.retryAt
}

func (l *LeaderClient) delayRetry(until steady.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.retryAt = until
}
