package dispatch

import (
	"context"
	"io"
	"testing"
	"testing/synctest"
	"time"

	"github.com/charmbracelet/log"
	"github.com/shoenig/test/must"

	"github.com/cyclamentray/cyclamentray/batch"
	"github.com/cyclamentray/cyclamentray/batch/ledger"
	"github.com/cyclamentray/cyclamentray/internal/pause"
	"github.com/cyclamentray/cyclamentray/internal/progress"
	"github.com/cyclamentray/cyclamentray/kvstore"
	"github.com/cyclamentray/cyclamentray/standin/keyspace"
)

func progressPut(t *testing.T, id string, state batch.State, task batch.TaskProgress) kvstore.Put {
	value, err := ledger.EncodeProgress(batch.Progress{State: state, Tasks: []batch.TaskProgress{task}})
	must.NoError(t, err)
	return kvstore.Put{Key: ledger.ProgressKey(id), Value: value}
}

func statePut(id string, state batch.State) kvstore.Put {
	return kvstore.Put{Key: ledger.StateKey(id), Value: []byte(state)}
}

// Guards against a takeover that takes as long as the history of ended jobs, an ended job that runs
// again, a start under way that is not known of, and a job that is missed.
func TestNewLeaderKnowsExactlyTheJobsOfWhichSomethingMayBeUnderWay(t *testing.T) {
	for name, test := range map[string]struct{ revisionUnknown, historyDropped bool }{
		"from the changes since the replica":             {},
		"from a list, as the history was dropped":        {historyDropped: true},
		"from a list, as the replica's age is not known": {revisionUnknown: true},
	} {
		t.Run(name, func(t *testing.T) {
			done, open := batch.TaskProgress{Done: true, Attempt: 1}, batch.TaskProgress{Attempt: 1, Runner: "r", Open: true}
			store, replica := keyspace.New(keyspace.Options{}), ledger.NewReplica(log.New(io.Discard))
			write := func(puts ...kvstore.Put) { store.WriteWithoutFaults(kvstore.Txn{Puts: puts}) }
			write(jobPut(t, "ended"), statePut("ended", batch.Completed), progressPut(t, "ended", batch.Completed, done))
			write(jobPut(t, "ended, a start under way"), statePut("ended, a start under way", batch.Failed), progressPut(t, "ended, a start under way", batch.Failed, open))
			write(jobPut(t, "waits"), jobPut(t, "ends later"), jobPut(t, "cancelled later"))
			write(jobPut(t, "runs"), statePut("runs", batch.Running), progressPut(t, "runs", batch.Running, open))
			items, asOf, err := store.List(t.Context(), ledger.ReplicaPrefix)
			must.NoError(t, err)
			replica.Reset(items)
			if !test.revisionUnknown {
				replica.NoteReadUpTo(asOf)
			}
			write(jobPut(t, "accepted later"), kvstore.Put{Key: ledger.CancelKey("cancelled later")})
			write(statePut("ends later", batch.Completed), progressPut(t, "ends later", batch.Completed, done))
			write(kvstore.Put{Key: ledger.LeaderKey, Value: []byte("h/1")})
			if test.historyDropped {
				store.Compact()
			}
			leader, err := store.Get(t.Context(), ledger.LeaderKey)
			must.NoError(t, err)
			l := newLeader(store, replica, leader.Revision)
			must.True(t, l.load(t.Context()))
			l.addNewJobs()
			for id, want := range map[string]batch.State{
				"ended": "", "ended, a start under way": batch.Failed, "waits": batch.Queued, "runs": batch.Running,
				"ends later": batch.Completed, "cancelled later": batch.Cancelled, "accepted later": batch.Queued,
			} {
				state, _ := l.core.JobState(id)
				must.Eq(t, want, state, must.Sprint(id))
			}
			must.True(t, l.core.RunnerNeeded("r"))
			for id := range l.revisions {
				item, err := store.Get(t.Context(), ledger.ProgressKey(id))
				must.True(t, err == nil && item.Revision == l.revisions[id] || err != nil && l.revisions[id] == 0, must.Sprint(id))
			}
		})
	}
}

// slowChanges is a store whose answers to watches arrive in pieces.
type slowChanges struct {
	*keyspace.Store
	pieces   int
	interval time.Duration
}

func (s slowChanges) Watch(ctx context.Context, prefix string, after uint64, wait time.Duration) ([]kvstore.Event, uint64, error) {
	for range s.pieces {
		if !pause.For(ctx, s.interval) {
			return nil, 0, kvstore.ErrUnavailable
		}
		progress.Mark(ctx)
	}
	return s.Store.Watch(ctx, prefix, after, wait)
}

// Guards against a takeover that never ends: over a slow link the changes take longer to arrive
// than the store may be silent.
func TestNewLeaderReadsChangesThatGoOnArriving(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store, replica := keyspace.New(keyspace.Options{}), ledger.NewReplica(log.New(io.Discard))
		write := func(puts ...kvstore.Put) { store.WriteWithoutFaults(kvstore.Txn{Puts: puts}) }
		write(jobPut(t, "known"))
		items, asOf, err := store.List(t.Context(), ledger.ReplicaPrefix)
		must.NoError(t, err)
		replica.Reset(items)
		replica.NoteReadUpTo(asOf)
		write(jobPut(t, "accepted later"))
		write(kvstore.Put{Key: ledger.LeaderKey, Value: []byte("h/1")})
		leader, err := store.Get(t.Context(), ledger.LeaderKey)
		must.NoError(t, err)
		l := newLeader(slowChanges{store, 5, 500 * time.Millisecond}, replica, leader.Revision)
		ctx, cancel := context.WithTimeout(t.Context(), 10*time.Second)
		defer cancel()
		must.True(t, l.load(ctx))
		for _, id := range []string{"known", "accepted later"} {
			_, known := l.core.JobState(id)
			must.True(t, known, must.Sprint(id))
		}
	})
}

// Guards against a job that is scheduled anew, and ends each term with a conflict, as its record
// can't be decoded.
func TestJobWhoseProgressCannotBeDecodedIsNotScheduled(t *testing.T) {
	store, replica := keyspace.New(keyspace.Options{}), ledger.NewReplica(log.New(io.Discard))
	store.WriteWithoutFaults(kvstore.Txn{Puts: []kvstore.Put{
		jobPut(t, "odd"), jobPut(t, "sound"), {Key: ledger.ProgressKey("odd"), Value: []byte("{")}, {Key: ledger.LeaderKey, Value: []byte("h/1")},
	}})
	items, asOf, err := store.List(t.Context(), ledger.ReplicaPrefix)
	must.NoError(t, err)
	replica.Reset(items)
	replica.NoteReadUpTo(asOf)
	l := newLeader(store, replica, asOf)
	must.True(t, l.load(t.Context()))
	l.addNewJobs()
	_, odd := l.core.JobState("odd")
	_, sound := l.core.JobState("sound")
	must.False(t, odd)
	must.True(t, sound)
}

func newLeader(store kvstore.Keyspace, replica *ledger.Replica, token uint64) *Leader {
	return &Leader{
		Options: Options{Log: log.New(io.Discard), Store: store, Replica: replica, Conditions: oneRunner{}, Now: time.Now, RunnerLease: 6 * time.Second},
		term:    &Term{Token: token}, revisions: make(map[string]uint64), states: make(map[string]batch.State),
	}
}
