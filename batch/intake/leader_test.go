package intake_test

import (
	"context"
	"encoding/json"
	"io"
	"testing"

	"github.com/charmbracelet/log"
	"github.com/cockroachdb/errors"
	"github.com/shoenig/test/must"

	"github.com/cyclamentray/cyclamentray/batch"
	"github.com/cyclamentray/cyclamentray/batch/intake"
	"github.com/cyclamentray/cyclamentray/batch/ledger"
	"github.com/cyclamentray/cyclamentray/kvstore"
	"github.com/cyclamentray/cyclamentray/peer"
)

const (
	askedJob      = "0123456789abcdef"
	leaderAddress = "leader:1"
)

// leaderPeer answers as the leader would from its own copy, or not at all.
type leaderPeer struct {
	service intake.StateService
	silent  bool
	calls   int
}

func (p *leaderPeer) Call(ctx context.Context, address, _ string, args, reply any) error {
	p.calls++
	if p.silent || address != leaderAddress {
		<-ctx.Done()
		return errors.Mark(ctx.Err(), peer.ErrNotSent)
	}
	if queue, ok := args.(intake.PendingArgs); ok {
		return p.service.Pending(queue, reply.(*int))
	}
	return p.service.State(args.(intake.StateArgs), reply.(*intake.StateReply))
}

func copyWith(t *testing.T, state batch.State) *ledger.Replica {
	encode := func(v any) []byte {
		text, err := json.Marshal(v)
		must.NoError(t, err)
		return text
	}
	replica := ledger.NewReplica(log.New(io.Discard))
	items := []kvstore.Item{
		{Key: ledger.LeaderKey, Value: []byte("strong/1"), Revision: 7},
		{Key: ledger.HostKey("strong"), Value: encode(ledger.Host{Address: leaderAddress})},
		{Key: ledger.JobKey(askedJob), Value: encode(batch.Job{ID: askedJob})},
	}
	if state != "" {
		items = append(items, kvstore.Item{Key: ledger.StateKey(askedJob), Value: []byte(state), Revision: 9})
	}
	replica.Reset(items)
	return replica
}

func askingIntake(t *testing.T, own batch.State, p *leaderPeer) *intake.Intake {
	in, _ := newIntake(nil)
	in.Replica = copyWith(t, own)
	in.Leader = &intake.LeaderClient{Replica: in.Replica, Peers: p, Host: "weak", Log: in.Log}
	return in
}

// A host reads changes in groups, so its copy is behind. Callers get the state
// that the leader has, and an earlier one never replaces a later one.
func TestStateComesFromTheLeadersCopy(t *testing.T) {
	for _, c := range []struct{ own, leader, told batch.State }{
		{"", batch.Running, batch.Running},
		{batch.Running, batch.Completed, batch.Completed},
		{batch.Running, "", batch.Running},
		{batch.Completed, batch.Running, batch.Completed},
	} {
		p := &leaderPeer{service: intake.StateService{Replica: copyWith(t, c.leader)}}
		state, err := askingIntake(t, c.own, p).State(t.Context(), intake.Target{JobID: askedJob}, patience)
		must.NoError(t, err)
		must.Eq(t, c.told, state, must.Sprintf("%+v", c))
	}
}

// So does the count of jobs that have not begun: told after a state, it fits it.
func TestPendingComesFromTheLeadersCopy(t *testing.T) {
	p := &leaderPeer{service: intake.StateService{Replica: copyWith(t, batch.Completed)}}
	in := askingIntake(t, "", p)
	n, err := in.Pending(t.Context(), intake.Target{})
	must.NoError(t, err)
	must.Zero(t, n)
	p.silent = true
	n, err = in.Pending(t.Context(), intake.Target{})
	must.NoError(t, err)
	must.One(t, n)
}

// A leader that does not answer is asked once, and the host's own copy answers.
func TestSilentLeaderIsNotAskedAgain(t *testing.T) {
	p := &leaderPeer{silent: true}
	in := askingIntake(t, batch.Running, p)
	for range 20 {
		state, err := in.State(t.Context(), intake.Target{JobID: askedJob}, patience)
		must.NoError(t, err)
		must.Eq(t, batch.Running, state)
	}
	must.Eq(t, 1, p.calls)
}
