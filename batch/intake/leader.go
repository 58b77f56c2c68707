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
	// leaderTimeout bounds the question to the leader: a few hundred times the
	// way between failure domains, and short for a caller that waits for it.
	leaderTimeout = 150 * time.Millisecond

	// leaderPause is how long a leader that did not answer isn't asked again:
	// about the time in which it is replaced.
	leaderPause = time.Second
)

// StateArgs asks for the state of a job.
type StateArgs struct{ ID string }

// StateReply is the state in the asked host's copy.
type StateReply struct {
	Known bool
	State batch.State
}

// PendingArgs asks how many jobs of a queue have not begun.
type PendingArgs struct{ Queue string }

// StateService answers other hosts from this host's copy. It is registered as "Jobs".
type StateService struct{ Replica *ledger.Replica }

// State answers with the state of one job.
func (s *StateService) State(args StateArgs, reply *StateReply) error {
	entry, known := s.Replica.Job(args.ID)
	if known {
		*reply = StateReply{Known: true, State: entry.State()}
	}
	return nil
}

// Pending answers with the number of a queue's jobs that have not begun.
func (s *StateService) Pending(args PendingArgs, reply *int) error {
	*reply = s.Replica.PendingJobs(args.Queue)
	return nil
}

// LeaderCopy asks the host that leads, whose copy follows the store without a
// pause, while the other hosts read changes in groups. It is safe for concurrent use.
type LeaderCopy struct {
	Replica *ledger.Replica
	Peers   peer.Caller
	Host    string // this one; it doesn't ask itself
	Log     *log.Logger

	mu      sync.Mutex
	resting steady.Time // until when the leader isn't asked
}

// State returns the state of a job as the leader has it; ok is false when it
// can't be asked or doesn't know the job.
func (l *LeaderCopy) State(ctx context.Context, id string) (state batch.State, ok bool) {
	var reply StateReply
	if !l.ask(ctx, "Jobs.State", StateArgs{ID: id}, &reply) {
		return "", false
	}
	return reply.State, reply.Known
}

// Pending returns how many jobs of a queue have not begun, as the leader has
// it; ok is false when it can't be asked.
func (l *LeaderCopy) Pending(ctx context.Context, queue string) (n int, ok bool) {
	ok = l.ask(ctx, "Jobs.Pending", PendingArgs{Queue: queue}, &n)
	return n, ok
}

// ask reports whether the leader answered. If not, this host's own copy has to
// do; it is behind by a fraction of a second.
func (l *LeaderCopy) ask(ctx context.Context, method string, args, reply any) bool {
	address := l.address()
	if address == "" || steady.Now().Before(l.restsUntil()) {
		return false
	}
	ctx, cancel := context.WithTimeout(ctx, leaderTimeout)
	defer cancel()
	if err := l.Peers.Call(ctx, address, method, args, reply); err != nil {
		l.Log.Debug("leader not asked for a while; this host's copy answers", "leader", address, "err", err)
		l.rest(steady.Now().Add(leaderPause))
		return false
	}
	return true
}

func (l *LeaderCopy) address() string {
	name := l.Replica.Leader().HostName()
	if name == l.Host {
		return ""
	}
	return l.Replica.Hosts()[name].Address
}

func (l *LeaderCopy) restsUntil() steady.Time {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.resting
}

func (l *LeaderCopy) rest(until steady.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.resting = until
}
