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

// decision is the dispatcher's decision on one ticket: a dispatch, or a shed.
type decision struct {
	dispatch   Dispatch
	shedReason ShedReason // not empty: the ticket was shed
}

// serviceDispatcher makes the Dispatcher of one service safe for concurrent use
// and delivers its decisions to the goroutines that wait for them.
type serviceDispatcher struct {
	name string

	mu         sync.Mutex
	dispatcher *Dispatcher
	waiters    map[uint64]chan decision // by ticket ID
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

// refresh passes a changed view or snapshot to the dispatcher.
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

// admit reports whether a request would be accepted now, and otherwise why not.
func (s *serviceDispatcher) admit(now time.Time, t Ticket) (ShedReason, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.dispatcher.Admit(now, t)
}

// acquireSlot submits t and waits until it is dispatched or shed. It returns
// ctx's error when ctx ends first; a slot granted meanwhile is given back.
func (s *serviceDispatcher) acquireSlot(ctx context.Context, now func() time.Time, t Ticket) (decision, error) {
	ch := make(chan decision, 1)
	s.mu.Lock()
	s.waiters[t.ID] = ch
	s.deliver(s.dispatcher.Submit(now(), t))
	s.mu.Unlock()
	select {
	case decided := <-ch:
		return decided, nil
	case <-ctx.Done():
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.dispatcher.Cancel(t.ID) {
		delete(s.waiters, t.ID)
		return decision{}, ctx.Err()
	}
	if decided := <-ch; decided.shedReason == "" {
		s.deliver(s.dispatcher.FinishAttempt(now(), AttemptReport{TicketID: t.ID, Result: Unused}))
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

// tick passes the time to the dispatcher and returns the upstreams to probe.
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

// deliver sends decisions to the requests that wait for them. The caller holds mu.
func (s *serviceDispatcher) deliver(d Decisions) {
	for _, x := range d.Dispatches {
		s.waiters[x.TicketID] <- decision{dispatch: x}
		delete(s.waiters, x.TicketID)
	}
	for _, x := range d.Sheds {
		s.waiters[x.TicketID] <- decision{shedReason: x.Reason}
		delete(s.waiters, x.TicketID)
	}
}
