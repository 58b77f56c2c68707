package dispatch

import (
	"io"
	"testing"
	"time"

	"github.com/charmbracelet/log"
	"github.com/shoenig/test/must"

	"github.com/cyclamentray/cyclamentray/batch"
	"github.com/cyclamentray/cyclamentray/batch/ledger"
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
			l := &Leader{
				Options: Options{Log: log.New(io.Discard), Store: store, Replica: replica, Now: time.Now, RunnerLease: 6 * time.Second},
				term:    &Term{Token: leader.Revision}, revisions: make(map[string]uint64), states: make(map[string]batch.State),
			}
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
