// Package ledger defines the store's keys and records of batch jobs, and keeps a
// replica of them on every host: jobs, their states and cancellations, the leader
// and the registered hosts. Package host keeps the replica current; the intake answers
// callers from it, and the leader reads new jobs from it. So any host can answer,
// and any can take over as leader.
package ledger

import (
	"bytes"
	"encoding/json"
	"maps"
	"slices"
	"strings"
	"sync"

	"github.com/charmbracelet/log"
	"github.com/cockroachdb/errors"

	"github.com/cyclamentray/cyclamentray/batch"
	"github.com/cyclamentray/cyclamentray/kvstore"
)

// Keys of the store that hosts write.
const (
	ReplicaPrefix = "batch/" // of the records that every host replicates
	LeaderKey     = "batch/leader"

	// ProgressPrefix is the prefix of progress records, which only the next leader
	// reads. It lies outside ReplicaPrefix, because they change more often than the
	// rest.
	ProgressPrefix = "progress/"

	// SpeedsKey is the key of the learned speeds of runners.
	SpeedsKey = "learned/speeds"

	jobPrefix    = "batch/job/"
	statePrefix  = "batch/state/"
	cancelPrefix = "batch/cancel/"
	hostPrefix   = "batch/host/"
)

// LeaseEndsKey is the key of the record of lease ends.
const LeaseEndsKey = "batch/lease-ends"

// JobKey returns the key of an accepted job.
func JobKey(id string) string { return jobPrefix + id }

// ProgressKey returns the key of a job's progress record.
func ProgressKey(id string) string { return ProgressPrefix + id }

// JobFromProgressKey returns the ID of the job that a progress key belongs to.
func JobFromProgressKey(key string) string { return strings.TrimPrefix(key, ProgressPrefix) }

// StateKey returns the key of a job's state as callers see it.
func StateKey(id string) string { return statePrefix + id }

// CancelKey returns the key of a job's cancellation.
func CancelKey(id string) string { return cancelPrefix + id }

// HostKey returns the key of a host's registration, which holds its address for calls
// between hosts.
func HostKey(name string) string { return hostPrefix + name }

// EncodeProgress encodes a progress record.
func EncodeProgress(p batch.Progress) ([]byte, error) { return json.Marshal(p) }

// DecodeProgress decodes a progress record.
func DecodeProgress(value []byte) (batch.Progress, error) {
	var p batch.Progress
	if err := json.Unmarshal(value, &p); err != nil {
		return p, errors.Wrap(err, "decoding a progress record")
	}
	return p, nil
}

// HasOpenStart reports whether a progress record names a start that may be under way. It
// decodes nothing, as a new leader asks it for the record of every ended job: EncodeProgress
// writes the field in no other form, and not at all unless it is true.
func HasOpenStart(value []byte) bool { return bytes.Contains(value, []byte(`"o":true`)) }

// EncodeSpeeds encodes learned speeds.
func EncodeSpeeds(s batch.Speeds) ([]byte, error) { return json.Marshal(s) }

// DecodeSpeeds decodes learned speeds.
func DecodeSpeeds(value []byte) (batch.Speeds, error) {
	var s batch.Speeds
	if err := json.Unmarshal(value, &s); err != nil {
		return batch.Speeds{}, errors.Wrap(err, "decoding the learned speeds")
	}
	return s, nil
}

// Entry is the replica of one job's records.
type Entry struct {
	Job              *batch.Job
	RecordedState    batch.State // last state that a leader recorded; empty: none
	recordedRevision uint64      // store revision of RecordedState
	Cancelled        bool
}

// State returns the job's state as callers see it.
func (e Entry) State() batch.State {
	switch {
	case e.RecordedState.Final():
		return e.RecordedState
	case e.Cancelled:
		return batch.Cancelled
	case e.RecordedState == "":
		return batch.Queued
	default:
		return e.RecordedState
	}
}

// Leader is the record of the host that schedules.
type Leader struct {
	Value    string // host name and lease ID of its term, separated by "/"
	Revision uint64 // store revision; the token of the term
}

// HostName returns the name of the leading host; empty: none leads.
func (l Leader) HostName() string {
	name, _, _ := strings.Cut(l.Value, "/")
	return name
}

// Host is a host's registration, which the other hosts read.
type Host struct {
	Address string  `json:"address"` // for calls between hosts
	Cores   float64 `json:"cores"`   // processor cores that the host may use
}

// Replica is the copy of the records under ReplicaPrefix. It is safe for concurrent
// use.
type Replica struct {
	log *log.Logger

	mu       sync.Mutex
	jobs     map[string]*Entry
	hosts    map[string]Host // by name
	ends     seenLeaseEnds
	endsItem kvstore.Item // the record of lease ends; revision 0: none
	leader   Leader
	asOf     uint64 // store revision up to which the replica shows all changes; 0: unknown
	loaded   bool
	watchers []chan struct{}
}

// NewReplica returns an empty replica.
func NewReplica(logger *log.Logger) *Replica {
	return &Replica{log: logger, jobs: make(map[string]*Entry), hosts: make(map[string]Host)}
}

// Watch returns a channel that receives a value after changes, until stop is called.
// Changes may share one value. A reader that also reads the store calls Watch first, so
// that no change falls between the two.
func (r *Replica) Watch() (changes <-chan struct{}, stop func()) {
	r.mu.Lock()
	defer r.mu.Unlock()
	c := make(chan struct{}, 1)
	r.watchers = append(r.watchers, c)
	return c, func() {
		r.mu.Lock()
		defer r.mu.Unlock()
		r.watchers = slices.DeleteFunc(r.watchers, func(o chan struct{}) bool { return o == c })
	}
}

// Reset replaces the contents of the replica by a list of the whole prefix.
func (r *Replica) Reset(items []kvstore.Item) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.jobs = make(map[string]*Entry, len(r.jobs))
	r.hosts = make(map[string]Host, len(r.hosts))
	r.leader, r.endsItem = Leader{}, kvstore.Item{}
	for _, item := range items {
		r.putItem(item)
	}
	r.loaded = true
	r.notifyWatchers()
}

// Apply applies changes in order.
func (r *Replica) Apply(events []kvstore.Event) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, e := range events {
		if e.Deleted {
			r.removeItem(e.Item)
			continue
		}
		r.putItem(e.Item)
	}
	r.notifyWatchers()
}

func (r *Replica) notifyWatchers() {
	for _, c := range r.watchers {
		select {
		case c <- struct{}{}:
		default:
		}
	}
}

func (r *Replica) putItem(item kvstore.Item) {
	switch {
	case item.Key == LeaderKey:
		r.leader = Leader{Value: string(item.Value), Revision: item.Revision}
	case item.Key == LeaseEndsKey:
		r.putLeaseEnds(item)
	case strings.HasPrefix(item.Key, hostPrefix):
		r.putHost(item)
	case strings.HasPrefix(item.Key, jobPrefix):
		r.putJob(item)
	case strings.HasPrefix(item.Key, statePrefix):
		e := r.entryOrNew(strings.TrimPrefix(item.Key, statePrefix))
		if item.Revision >= e.recordedRevision {
			e.RecordedState, e.recordedRevision = batch.State(item.Value), item.Revision
		}
	case strings.HasPrefix(item.Key, cancelPrefix):
		r.entryOrNew(strings.TrimPrefix(item.Key, cancelPrefix)).Cancelled = true
	}
}

func (r *Replica) putHost(item kvstore.Item) {
	var h Host
	if err := json.Unmarshal(item.Value, &h); err != nil {
		r.log.Warn("host's entry can't be decoded", "key", item.Key, "err", err)
		return
	}
	r.hosts[strings.TrimPrefix(item.Key, hostPrefix)] = h
}

func (r *Replica) putJob(item kvstore.Item) {
	e := r.entryOrNew(strings.TrimPrefix(item.Key, jobPrefix))
	if e.Job != nil {
		return // jobs are immutable
	}
	var job batch.Job
	if err := json.Unmarshal(item.Value, &job); err != nil {
		r.log.Error("accepted job can't be decoded and won't run", "key", item.Key, "revision", item.Revision, "err", err)
		return
	}
	e.Job = &job
}

func (r *Replica) entryOrNew(id string) *Entry {
	e := r.jobs[id]
	if e == nil {
		e = &Entry{}
		r.jobs[id] = e
	}
	return e
}

func (r *Replica) removeItem(item kvstore.Item) {
	switch {
	case item.Key == LeaderKey:
		r.leader = Leader{}
	case item.Key == LeaseEndsKey:
		r.endsItem = kvstore.Item{}
	case strings.HasPrefix(item.Key, hostPrefix):
		delete(r.hosts, strings.TrimPrefix(item.Key, hostPrefix))
	case strings.HasPrefix(item.Key, jobPrefix):
		delete(r.jobs, strings.TrimPrefix(item.Key, jobPrefix))
	}
}

// NoteReadUpTo notes the store revision up to which the replica shows all changes.
func (r *Replica) NoteReadUpTo(asOf uint64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.asOf = max(r.asOf, asOf)
}

// CopyOpen returns a copy without the jobs that are recorded as ended, and the revision up to
// which it shows all changes; 0: unknown. Nothing but Apply changes the copy.
func (r *Replica) CopyOpen() (open *Replica, asOf uint64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	open = &Replica{log: r.log, jobs: make(map[string]*Entry), hosts: maps.Clone(r.hosts), ends: r.ends, endsItem: r.endsItem, leader: r.leader, loaded: r.loaded}
	for id, e := range r.jobs {
		if !e.RecordedState.Final() {
			copied := *e
			open.jobs[id] = &copied
		}
	}
	return open, r.asOf
}

// LeaseEnds returns the item with the record of lease ends; at revision 0: there is none.
func (r *Replica) LeaseEnds() kvstore.Item {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.endsItem
}

// AddJob adds a job that this host has just stored, without waiting for the
// store's event.
func (r *Replica) AddJob(job *batch.Job) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if e := r.entryOrNew(job.ID); e.Job == nil {
		e.Job = job
	}
	r.notifyWatchers()
}

// MarkCancelled marks a job as cancelled whose cancellation this host has just
// stored, without waiting for the store's event.
func (r *Replica) MarkCancelled(id string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.entryOrNew(id).Cancelled = true
	r.notifyWatchers()
}

// Loaded reports whether the replica was ever loaded completely.
func (r *Replica) Loaded() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.loaded
}

// Leader returns the host that schedules; the zero Leader: none.
func (r *Replica) Leader() Leader {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.leader
}

// Hosts returns the registered hosts by name.
func (r *Replica) Hosts() map[string]Host {
	r.mu.Lock()
	defer r.mu.Unlock()
	return maps.Clone(r.hosts)
}

// Job returns the entry of a job, if it was accepted.
func (r *Replica) Job(id string) (Entry, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	e := r.jobs[id]
	if e == nil || e.Job == nil {
		return Entry{}, false
	}
	return *e, true
}

// Ended reports whether a job is recorded as ended. That never changes again.
func (r *Replica) Ended(id string) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	e := r.jobs[id]
	return e != nil && e.RecordedState.Final()
}

// EachJob calls f for every accepted job. f must not call the replica.
func (r *Replica) EachJob(f func(Entry)) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, e := range r.jobs {
		if e.Job != nil {
			f(*e)
		}
	}
}

// PendingJobs returns the number of a queue's jobs of which no task was started.
func (r *Replica) PendingJobs(queue string) int {
	n := 0
	r.EachJob(func(e Entry) {
		if e.Job.Queue == queue && e.State() == batch.Queued {
			n++
		}
	})
	return n
}
