package intake

import (
	"context"
	"sync"
	"time"

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

// LeaderCopy asks the host that leads, whose copy follows the store without a
// pause, while the other hosts read changes in groups. It is safe for concurrent use.
type LeaderCopy struct {
	Replica *ledger.Replica
	Peers   peer.Caller
	Host    string // this one; it doesn't ask itself

	mu      sync.Mutex
	resting steady.Time // until when the leader isn't asked
}

// State returns the state of a job as the leader has it; ok is false when it
// can't be asked or doesn't know the job.
func (l *LeaderCopy) State(ctx context.Context, id string) (state batch.State, ok bool) {
	address := l.address()
	if address == "" || steady.Now().Before(l.restsUntil()) {
		return "", false
	}
	ctx, cancel := context.WithTimeout(ctx, leaderTimeout)
	defer cancel()
	var reply StateReply
	if err := l.Peers.Call(ctx, address, "Jobs.State", StateArgs{ID: id}, &reply); err != nil {
		// This host's own copy answers; it is behind by a fraction of a second.
		l.rest(steady.Now().Add(leaderPause))
		return "", false
	}
	return reply.State, reply.Known
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
