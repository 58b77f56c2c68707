package dispatch

import (
	"context"
	"io"
	"slices"
	"sync"
	"testing"
	"time"

	"github.com/charmbracelet/log"
	"github.com/shoenig/test/must"

	"github.com/cyclamentray/cyclamentray/batch"
	"github.com/cyclamentray/cyclamentray/batch/ledger"
	"github.com/cyclamentray/cyclamentray/internal/pause"
	"github.com/cyclamentray/cyclamentray/internal/steady"
	"github.com/cyclamentray/cyclamentray/kvstore"
	"github.com/cyclamentray/cyclamentray/standin/keyspace"
)

// recordsRead is one of the reads with which a new leader learns of earlier terms.
type recordsRead string

const (
	jobChanges    recordsRead = "changes of the jobs"
	jobList       recordsRead = "list of the jobs"
	termHistory   recordsRead = "terms since the lease ends"
	progressList  recordsRead = "list of the progress"
	learnedSpeeds recordsRead = "learned speeds"
)

// takeoverStore is the store as a new leader reads it.
type takeoverStore struct {
	*keyspace.Store
	answerTime  time.Duration
	failing     []recordsRead // each fails once
	answered    func(recordsRead)
	changesStep int // changes that one read returns; 0: all
}

func (s *takeoverStore) answer(ctx context.Context, r recordsRead) error {
	pause.For(ctx, s.answerTime)
	if i := slices.Index(s.failing, r); i >= 0 {
		s.failing = slices.Delete(s.failing, i, i+1)
		return kvstore.ErrUnavailable
	}
	s.answered(r)
	return nil
}

func (s *takeoverStore) Get(ctx context.Context, key string) (kvstore.Item, error) {
	item, err := s.Store.Get(ctx, key)
	if key == ledger.SpeedsKey {
		if err := s.answer(ctx, learnedSpeeds); err != nil {
			return kvstore.Item{}, err
		}
	}
	return item, err
}

func (s *takeoverStore) ListPage(ctx context.Context, prefix, after string) (kvstore.Page, error) {
	page, err := s.Store.ListPage(ctx, prefix, after)
	read := jobList
	if prefix == ledger.ProgressPrefix {
		read = progressList
	}
	if err := s.answer(ctx, read); err != nil {
		return kvstore.Page{}, err
	}
	return page, err
}

func (s *takeoverStore) Watch(ctx context.Context, prefix string, after uint64, wait time.Duration) ([]kvstore.Event, uint64, error) {
	events, asOf, err := s.Store.Watch(ctx, prefix, after, wait)
	read := jobChanges
	if prefix == ledger.LeaderKey {
		read = termHistory
	} else if s.changesStep > 0 && len(events) > s.changesStep {
		events = events[:s.changesStep]
		asOf = events[len(events)-1].Revision
	}
	if err == nil {
		err = s.answer(ctx, read)
	}
	return events, asOf, err
}

// recordingRunner is a runner that remembers the jobs whose tasks it was told to start.
type recordingRunner struct {
	oneRunner
	mu      sync.Mutex
	started map[string]bool
}

func (r *recordingRunner) Start(_ context.Context, _ batch.Runner, o StartOrder) (Answer, error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.started[o.Task.Job] = true
	return Accepted, nil
}

func (r *recordingRunner) hasStarted(job string) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.started[job]
}

// takeover is a host that takes over from a leader that has ended. The job "has ended" is
// stored, and its end too, which the host's replica shows only where it has read that far.
type takeover struct {
	store   *keyspace.Store
	replica *ledger.Replica
	runner  *recordingRunner
	token   uint64
	reads   *takeoverStore
	follows bool // the host's follower passes changes to the replica
}

// replicaAge is how far a host's replica shows the records when its term begins.
type replicaAge int

const (
	beforeTerm  replicaAge = iota // changes up to the term are missing
	pastTerm                      // it shows all of them
	ageUnknown                    // the same as beforeTerm, without its revision
	startedAnew                   // the host has just started, and its follower lists the records
)

// newTakeover returns the takeover with the given job stored as well; empty: none.
func newTakeover(t *testing.T, age replicaAge, job string) *takeover {
	logger := log.New(io.Discard)
	w := &takeover{
		store: keyspace.New(keyspace.Options{}), replica: ledger.NewReplica(logger),
		runner: &recordingRunner{started: make(map[string]bool)},
	}
	w.write(jobPut(t, "has ended"))
	if job != "" {
		w.write(jobPut(t, job))
	}
	w.follows = age == startedAnew
	if !w.follows { // the new leader writes the record again, and a follower would give notice of that
		ends, err := ledger.EncodeLeaseEnds(ledger.LeaseEnds{Ends: []ledger.LeaseEnd{{Runner: "gone", RemainingMS: 1, Mark: "1/1"}}})
		must.NoError(t, err)
		w.write(kvstore.Put{Key: ledger.LeaseEndsKey, Value: ends})
	}
	if age != startedAnew {
		items, asOf, err := w.store.List(t.Context(), ledger.ReplicaPrefix)
		must.NoError(t, err)
		w.replica.Reset(items)
		if age != ageUnknown {
			w.replica.NoteReadUpTo(asOf)
		}
	}
	w.write(statePut("has ended", batch.Completed), progressPut(t, "has ended", batch.Completed, batch.TaskProgress{Done: true, Attempt: 1}))
	w.beginTerm(t)
	if age == pastTerm {
		w.passChanges(t, w.replica.LeaseEnds().Revision)
	}
	if w.follows {
		f := kvstore.Follower{Store: w.store, Prefix: ledger.ReplicaPrefix, Wait: time.Second, Reset: w.replica.Reset, Apply: w.replica.Apply, ReadUpTo: w.replica.NoteReadUpTo}
		var following sync.WaitGroup
		ctx, cancel := context.WithCancel(t.Context())
		following.Go(func() { f.Run(ctx) })
		t.Cleanup(func() { cancel(); following.Wait() })
		w.awaitReplica(w.token)
	}
	w.reads = &takeoverStore{Store: w.store, answered: func(recordsRead) {}}
	return w
}

func (w *takeover) write(puts ...kvstore.Put) { w.store.WriteWithoutFaults(kvstore.Txn{Puts: puts}) }

// beginTerm writes the record of a new term.
func (w *takeover) beginTerm(t *testing.T) {
	w.write(kvstore.Put{Key: ledger.LeaderKey, Value: []byte("h/1")})
	leader, err := w.store.Get(t.Context(), ledger.LeaderKey)
	must.NoError(t, err)
	w.token = leader.Revision
}

// passChanges passes the changes after a revision to the replica, as the host's follower does.
func (w *takeover) passChanges(t *testing.T, after uint64) {
	events, asOf, err := w.store.Watch(t.Context(), ledger.ReplicaPrefix, after, 0)
	must.NoError(t, err)
	w.replica.Apply(events)
	w.replica.NoteReadUpTo(asOf)
}

// change writes to the store, and returns when the replica shows the change.
func (w *takeover) change(t *testing.T, p kvstore.Put) {
	w.write(p)
	item, err := w.store.Get(t.Context(), p.Key)
	must.NoError(t, err)
	if !w.follows {
		w.passChanges(t, item.Revision-1)
		return
	}
	w.awaitReplica(item.Revision)
}

// awaitReplica waits until the replica shows all changes up to a revision.
func (w *takeover) awaitReplica(revision uint64) {
	for asOf := uint64(0); asOf < revision; time.Sleep(time.Millisecond) {
		_, asOf = w.replica.CopyOpen()
	}
}

// lead runs a leader with the present term until the test or ctx ends. The returned channel is
// closed when the leader has ended.
func (w *takeover) lead(t *testing.T, ctx context.Context) <-chan struct{} {
	ctx, cancel := context.WithCancel(ctx)
	term := &Term{Token: w.token, ttl: time.Hour, renewed: steady.Now(), cancel: cancel}
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		Lead(ctx, Options{
			Store: w.reads, Replica: w.replica, Runners: w.runner, Conditions: w.runner, Log: log.New(io.Discard), Now: time.Now, RunnerLease: 6 * time.Second, Cores: 1,
		}, term)
	}()
	t.Cleanup(func() { cancel(); <-ended })
	return ended
}

func (w *takeover) awaitStart(t *testing.T, job string) {
	for deadline := time.Now().Add(takeoverLimit); !w.runner.hasStarted(job); time.Sleep(time.Millisecond) {
		must.True(t, time.Now().Before(deadline), must.Sprintf("%s was not started", job))
	}
}

func (w *takeover) awaitState(t *testing.T, job string, state batch.State) {
	for deadline := time.Now().Add(takeoverLimit); ; time.Sleep(time.Millisecond) {
		item, err := w.store.Get(t.Context(), ledger.StateKey(job))
		if err == nil && batch.State(item.Value) == state {
			return
		}
		must.True(t, time.Now().Before(deadline), must.Sprintf("%s is not recorded as %s", job, state))
	}
}

// The ways in which a new leader reads the records, and the reads of which each consists. A
// way is named by what decides on it.
var waysToRead = []struct {
	name        string
	age         replicaAge
	changesStep int
	dropped     recordsRead // the store drops its history after this read
	dropBefore  bool        // the store drops its history before the term
	failing     []recordsRead
	answerTime  time.Duration
	reads       []recordsRead
}{
	{name: "replica past the term", age: pastTerm, reads: []recordsRead{termHistory, progressList, learnedSpeeds}},
	{name: "host restarted", age: startedAnew, reads: []recordsRead{progressList, learnedSpeeds}},
	{name: "changes", reads: []recordsRead{jobChanges, termHistory, progressList, learnedSpeeds}},
	{name: "changes in several reads", changesStep: 1, reads: []recordsRead{jobChanges, jobChanges, termHistory, progressList, learnedSpeeds}},
	{name: "history dropped between two reads of changes", changesStep: 1, dropped: jobChanges, reads: []recordsRead{jobChanges, jobList, progressList, learnedSpeeds}},
	{name: "history dropped before", dropBefore: true, reads: []recordsRead{jobList, progressList, learnedSpeeds}},
	{name: "age of the replica not known", age: ageUnknown, reads: []recordsRead{jobList, termHistory, progressList, learnedSpeeds}},
	{
		name: "slow store, changes", failing: []recordsRead{jobChanges, termHistory, progressList, learnedSpeeds}, answerTime: 20 * time.Millisecond,
		reads: []recordsRead{jobChanges, termHistory, termHistory, progressList, termHistory, learnedSpeeds},
	},
	{
		name: "slow store, list", age: ageUnknown, failing: []recordsRead{jobList, progressList}, answerTime: 20 * time.Millisecond,
		reads: []recordsRead{jobList, termHistory, termHistory, progressList, learnedSpeeds},
	},
}

// Guards against a job, a cancellation or an end that a new leader misses, as its notice came
// while the records were read: each is tried in each way to read them, after each read.
func TestChangesDuringATakeoverAreHeededHoweverTheRecordsAreRead(t *testing.T) {
	changes := map[string]struct {
		stored string // job; empty: none
		put    func(t *testing.T) kvstore.Put
		check  func(t *testing.T, w *takeover)
	}{
		"a job is accepted": {
			put:   func(t *testing.T) kvstore.Put { return jobPut(t, "accepted") },
			check: func(t *testing.T, w *takeover) { w.awaitStart(t, "accepted") },
		},
		"a job is cancelled": {
			stored: "is cancelled",
			put:    func(*testing.T) kvstore.Put { return kvstore.Put{Key: ledger.CancelKey("is cancelled")} },
			check: func(t *testing.T, w *takeover) {
				w.awaitState(t, "is cancelled", batch.Cancelled)
				must.False(t, w.runner.hasStarted("is cancelled"))
			},
		},
		"the replica shows an end": {
			stored: "waits",
			put:    func(*testing.T) kvstore.Put { return statePut("has ended", batch.Completed) },
			check:  func(t *testing.T, w *takeover) { w.awaitStart(t, "waits") },
		},
	}
	for _, way := range waysToRead {
		for moment := range way.reads {
			for name, change := range changes {
				t.Run(way.name+", "+string(way.reads[moment])+", "+name, func(t *testing.T) {
					t.Parallel()
					w := newTakeover(t, way.age, change.stored)
					var mu sync.Mutex
					var reads []recordsRead
					w.reads.changesStep, w.reads.failing, w.reads.answerTime = way.changesStep, slices.Clone(way.failing), way.answerTime
					w.reads.answered = func(r recordsRead) {
						mu.Lock()
						defer mu.Unlock()
						reads = append(reads, r)
						if len(reads) == moment+1 {
							w.change(t, change.put(t))
						}
						if r == way.dropped {
							w.store.Compact()
						}
					}
					if way.dropBefore {
						w.store.Compact()
					}
					w.lead(t, t.Context())
					change.check(t, w)
					must.False(t, w.runner.hasStarted("has ended"))
					mu.Lock()
					defer mu.Unlock()
					must.Eq(t, way.reads, reads)
				})
			}
		}
	}
}

// Guards against a job that is missed as its notice reached a leader whose term ended while it
// read the records.
func TestChangeDuringATakeoverThatIsCutOffIsHeededByTheNext(t *testing.T) {
	for _, last := range []recordsRead{jobChanges, termHistory, progressList, learnedSpeeds} {
		t.Run(string(last), func(t *testing.T) {
			w := newTakeover(t, beforeTerm, "")
			ctx, endTerm := context.WithCancel(t.Context())
			w.reads.answered = func(r recordsRead) {
				if r == last {
					w.change(t, jobPut(t, "accepted"))
					endTerm()
				}
			}
			ended := w.lead(t, ctx)
			<-ended
			must.False(t, w.runner.hasStarted("accepted"))
			w.reads.answered = func(recordsRead) {}
			w.beginTerm(t)
			w.lead(t, t.Context())
			w.awaitStart(t, "accepted")
			must.False(t, w.runner.hasStarted("has ended"))
		})
	}
}
