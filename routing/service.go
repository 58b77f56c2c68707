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

// grant is the core's decision on one ticket.
type grant struct {
	dispatch Dispatch
	shed     ShedReason // not empty: refused
}

// service drives the core of one service. It is safe for concurrent use.
type service struct {
	name string

	mu       sync.Mutex
	core     *Dispatcher
	waiters  map[uint64]chan grant
	view     *membership.View
	snapshot *config.Snapshot
}

func newService(name string, seed int64) *service {
	return &service{
		name:    name,
		core:    NewDispatcher(rand.New(rand.NewSource(seed))),
		waiters: make(map[uint64]chan grant),
	}
}

// refresh passes a new view or snapshot to the core.
func (s *service) refresh(now time.Time, view *membership.View, snap *config.Snapshot) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.view == view && s.snapshot == snap {
		return
	}
	s.view, s.snapshot = view, snap
	s.apply(s.core.UpdateTopology(now, newFleet(s.name, view, snap)))
}

func newFleet(name string, view *membership.View, snap *config.Snapshot) Topology {
	f := Topology{
		Self:         view.Self,
		EntryHosts:   entryHosts(view),
		Silent:       view.Silent,
		Upstreams:    view.Upstreams(name),
		OutOfService: make(map[string]bool),
	}
	for _, d := range snap.FailureDomains {
		f.OutOfService[d.Name] = d.Out
	}
	return f
}

// entryHosts returns the known entry hosts, this one included.
func entryHosts(view *membership.View) []kvstore.Host {
	others := view.Select(func(h kvstore.Host) bool {
		return h.Kind == kvstore.EntryHost && h.Name != view.Self.Name
	})
	return append(others, view.Self)
}

// admit reports whether a request would be taken now.
func (s *service) admit(now time.Time, t Ticket) (ShedReason, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.core.Admit(now, t)
}

// acquire waits for a slot. It returns ctx's error when the caller is gone first.
func (s *service) acquire(ctx context.Context, now func() time.Time, t Ticket) (grant, error) {
	ch := make(chan grant, 1)
	s.mu.Lock()
	s.waiters[t.ID] = ch
	s.apply(s.core.Submit(now(), t))
	s.mu.Unlock()
	select {
	case g := <-ch:
		return g, nil
	case <-ctx.Done():
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.core.Cancel(t.ID) {
		delete(s.waiters, t.ID)
		return grant{}, ctx.Err()
	}
	if g := <-ch; g.shed == "" {
		s.apply(s.core.FinishAttempt(now(), AttemptReport{Ticket: t.ID, Result: Unused}))
	}
	return grant{}, ctx.Err()
}

func (s *service) finish(now time.Time, rep AttemptReport) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.apply(s.core.FinishAttempt(now, rep))
}

func (s *service) retry() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.core.AllowRetry()
}

func (s *service) waiting() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.core.QueueLength()
}

// tick gives the core the time and returns the upstreams to probe.
func (s *service) tick(now time.Time) []kvstore.Host {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.apply(s.core.Tick(now))
	return s.core.StartProbes(now)
}

func (s *service) probed(now time.Time, upstream string, alive, closing bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.apply(s.core.FinishProbe(now, upstream, alive, closing))
}

// apply hands decisions to the waiting requests. The caller holds mu.
func (s *service) apply(d Decisions) {
	for _, x := range d.Dispatches {
		s.waiters[x.Ticket] <- grant{dispatch: x}
		delete(s.waiters, x.Ticket)
	}
	for _, x := range d.Sheds {
		s.waiters[x.Ticket] <- grant{shed: x.Reason}
		delete(s.waiters, x.Ticket)
	}
}
