package intake_test

import (
	"context"
	"encoding/json"
	"io"
	"testing"
	"time"

	"github.com/charmbracelet/log"
	"github.com/cockroachdb/errors"
	"github.com/shoenig/test/must"

	"github.com/cyclamentray/cyclamentray/batch"
	"github.com/cyclamentray/cyclamentray/batch/intake"
	"github.com/cyclamentray/cyclamentray/batch/ledger"
	"github.com/cyclamentray/cyclamentray/internal/steady"
	"github.com/cyclamentray/cyclamentray/kvstore"
	"github.com/cyclamentray/cyclamentray/peer"
)

const (
	jobID         = "0123456789abcdef"
	leaderAddress = "leader:1"
)

// leaderPeer is a peer.Caller that answers from the leader's replica, or not at
// all while unresponsive.
type leaderPeer struct {
	service      intake.StateService
	unresponsive bool
	calls        int
}

func (p *leaderPeer) Call(ctx context.Context, address, _ string, args, reply any) error {
	p.calls++
	if p.unresponsive || address != leaderAddress {
		<-ctx.Done()
		return errors.Mark(ctx.Err(), peer.ErrNotSent)
	}
	if queue, ok := args.(intake.PendingArgs); ok {
		return p.service.Pending(queue, reply.(*int))
	}
	return p.service.State(args.(intake.StateArgs), reply.(*intake.StateReply))
}

// replicaWithJob returns a replica that holds the leader's address and one job in
// the given state; an empty state means that the job has none recorded.
func replicaWithJob(t *testing.T, state batch.State) *ledger.Replica {
	encode := func(v any) []byte {
		text, err := json.Marshal(v)
		must.NoError(t, err)
		return text
	}
	replica := ledger.NewReplica(log.New(io.Discard))
	items := []kvstore.Item{
		{Key: ledger.LeaderKey, Value: []byte("strong/1"), Revision: 7},
		{Key: ledger.HostKey("strong"), Value: encode(ledger.Host{Address: leaderAddress})},
		{Key: ledger.JobKey(jobID), Value: encode(batch.Job{ID: jobID})},
	}
	if state != "" {
		items = append(items, kvstore.Item{Key: ledger.StateKey(jobID), Value: []byte(state), Revision: 9})
	}
	replica.Reset(items)
	return replica
}

func newIntakeWithLeader(t *testing.T, local batch.State, p *leaderPeer) *intake.Intake {
	in, _ := newIntake(nil)
	in.Replica = replicaWithJob(t, local)
	in.Leader = &intake.LeaderClient{Replica: in.Replica, Peers: p, Host: "weak", Log: in.Log}
	return in
}

// A host that does not lead reads changes in batches, so its replica lags. Callers
// get the leader's state, and an earlier state never replaces a later one.
func TestStateUsesLeaderReplica(t *testing.T) {
	for _, c := range []struct{ local, leader, want batch.State }{
		{"", batch.Running, batch.Running},
		{batch.Running, batch.Completed, batch.Completed},
		{batch.Running, "", batch.Running},
		{batch.Completed, batch.Running, batch.Completed},
	} {
		p := &leaderPeer{service: intake.StateService{Replica: replicaWithJob(t, c.leader)}}
		state, err := newIntakeWithLeader(t, c.local, p).State(t.Context(), intake.Target{JobID: jobID}, callerTimeout)
		must.NoError(t, err)
		must.Eq(t, c.want, state, must.Sprintf("%+v", c))
	}
}

// The count of pending jobs also comes from the leader's replica, so that it is
// consistent with a state returned before. Without the leader, the local replica
// is used.
func TestPendingUsesLeaderReplica(t *testing.T) {
	p := &leaderPeer{service: intake.StateService{Replica: replicaWithJob(t, batch.Completed)}}
	in := newIntakeWithLeader(t, "", p)
	n, err := in.Pending(t.Context(), intake.Target{})
	must.NoError(t, err)
	must.Zero(t, n)
	p.unresponsive = true
	n, err = in.Pending(t.Context(), intake.Target{})
	must.NoError(t, err)
	must.One(t, n)
}

// A leader that does not answer is called once, and later requests are answered
// from the local replica without another call until a second has passed.
func TestUnresponsiveLeaderIsNotRetriedAtOnce(t *testing.T) {
	p := &leaderPeer{unresponsive: true}
	in := newIntakeWithLeader(t, batch.Running, p)
	now := steady.Time(time.Hour)
	in.Leader.Now = func() steady.Time { return now }
	ask := func() {
		state, err := in.State(t.Context(), intake.Target{JobID: jobID}, callerTimeout)
		must.NoError(t, err)
		must.Eq(t, batch.Running, state)
	}
	for range 20 {
		ask()
	}
	must.Eq(t, 1, p.calls)
	now = now.Add(time.Second - 1)
	ask()
	must.Eq(t, 1, p.calls)
	now = now.Add(1)
	ask()
	must.Eq(t, 2, p.calls)
}
