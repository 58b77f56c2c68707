package routing

import (
	"context"
	"math/rand"
	"sync"
	"time"

	"github.com/cyclamentray/cyclamentray/config"
	"github.com/cyclamentray/cyclamentray/kvstore"
	"github.com/cyclamentray/cyclamentray/membership"
)

// decision is the core's decision on one ticket.
type decision struct {
	dispatch   Dispatch
	shedReason ShedReason // not empty: refused
}

// serviceDispatcher drives the core of one serviceDispatcher. It is safe for concurrent use.
type serviceDispatcher struct {
	name string

	mu         sync.Mutex
	dispatcher *Dispatcher
	waiters    map[uint64]chan decision
	view       *membership.View
	snapshot   *config.Snapshot
}

func newServiceDispatcher(name string, seed int64) *serviceDispatcher {
	return &serviceDispatcher{
		name:       name,
		dispatcher: NewDispatcher(rand.New(rand.NewSource(seed))),
		waiters:    make(map[uint64]chan decision),
	}
}

// refresh passes a new view or snapshot to the core.
func (s *serviceDispatcher) refresh(now time.Time, view *membership.View, snap *config.Snapshot) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.view == view && s.snapshot == snap {
		return
	}
	s.view, s.snapshot = view, snap
	s.deliver(s.dispatcher.UpdateTopology(now, newTopology(s.name, view, snap)))
}

func newTopology(name string, view *membership.View, snap *config.Snapshot) Topology {
	topology := Topology{
		Self:         view.Self,
		EntryHosts:   entryHosts(view),
		Silent:       view.Silent,
		Upstreams:    view.Upstreams(name),
		OutOfService: make(map[string]bool),
	}
	for _, d := range snap.FailureDomains {
		topology.OutOfService[d.Name] = d.Out
	}
	return topology
}

// entryHosts returns the known entry hosts, this one included.
func entryHosts(view *membership.View) []kvstore.Host {
	others := view.Select(func(h kvstore.Host) bool {
		return h.Kind == kvstore.EntryHost && h.Name != view.Self.Name
	})
	return append(others, view.Self)
}

// admit reports whether a request would be taken now.
func (s *serviceDispatcher) admit(now time.Time, t Ticket) (ShedReason, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.dispatcher.Admit(now, t)
}

// acquireSlot waits for a slot. It returns ctx's error when the caller is gone first.
func (s *serviceDispatcher) acquireSlot(ctx context.Context, now func() time.Time, t Ticket) (decision, error) {
	ch := make(chan decision, 1)
	s.mu.Lock()
	s.waiters[t.ID] = ch
	s.deliver(s.dispatcher.Submit(now(), t))
	s.mu.Unlock()
	select {
	case result := <-ch:
		return result, nil
	case <-ctx.Done():
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.dispatcher.Cancel(t.ID) {
		delete(s.waiters, t.ID)
		return decision{}, ctx.Err()
	}
	if result := <-ch; result.shedReason == "" {
		s.deliver(s.dispatcher.FinishAttempt(now(), AttemptReport{Ticket: t.ID, Result: Unused}))
	}
	return decision{}, ctx.Err()
}

func (s *serviceDispatcher) finishAttempt(now time.Time, rep AttemptReport) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.deliver(s.dispatcher.FinishAttempt(now, rep))
}

func (s *serviceDispatcher) allowRetry() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.dispatcher.AllowRetry()
}

func (s *serviceDispatcher) queueLength() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.dispatcher.QueueLength()
}

// tick gives the core the time and returns the upstreams to probe.
func (s *serviceDispatcher) tick(now time.Time) []kvstore.Host {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.deliver(s.dispatcher.Tick(now))
	return s.dispatcher.StartProbes(now)
}

func (s *serviceDispatcher) finishProbe(now time.Time, upstream string, alive, closing bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.deliver(s.dispatcher.FinishProbe(now, upstream, alive, closing))
}

// deliver hands decisions to the waiting requests. The caller holds mu.
func (s *serviceDispatcher) deliver(d Decisions) {
	for _, x := range d.Dispatches {
		s.waiters[x.Ticket] <- decision{dispatch: x}
		delete(s.waiters, x.Ticket)
	}
	for _, x := range d.Sheds {
		s.waiters[x.Ticket] <- decision{shedReason: x.Reason}
		delete(s.waiters, x.Ticket)
	}
}
