package membership

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/charmbracelet/log"

	"github.com/cyclamentray/cyclamentray/internal/defaults"
	"github.com/cyclamentray/cyclamentray/internal/pause"
	"github.com/cyclamentray/cyclamentray/kvstore"
	"github.com/cyclamentray/cyclamentray/peer"
)

const (
	nearInterval     = time.Second      // between heartbeats within a failure domain
	farInterval      = 10 * time.Second // between heartbeats across failure domains
	tickInterval     = 250 * time.Millisecond
	publishInterval  = time.Second // of a view in which only time has passed
	listInterval     = 3 * time.Second
	listTimeout      = 2 * time.Second
	listWatchTimeout = 15 * time.Second
	heartbeatTimeout = time.Second
)

// Status is what an entry host says of its state, for operators and for the
// choice of peers.
type Status struct {
	Revision     uint64        // of its configuration
	RevisionAge  time.Duration // since the platform confirmed it, when sent
	Term         uint64        // fencing term; 0: the host schedules nothing
	PlatformDown bool          // the host does not reach the platform by itself
	At           time.Time     `json:"-"` // local time of its arrival
}

// Beat is a heartbeat, and the answer to one.
type Beat struct {
	Host        kvstore.Host
	Incarnation string
	Draining    bool
	Status      Status
}

// Options configures a Membership.
type Options struct {
	Self        kvstore.Host
	Incarnation string // changes when the process restarts
	Lister      kvstore.HostLister
	Peers       peer.Caller
	Seeds       []string      // peer addresses to ask while no list was read
	Status      func() Status // nil: empty
	Now         func() time.Time
	Logger      *log.Logger
	Metrics     *metrics.Set
}

func (o Options) withDefaults() Options {
	if o.Status == nil {
		o.Status = func() Status { return Status{} }
	}
	o.Now = defaults.Now(o.Now)
	o.Logger = defaults.Logger(o.Logger)
	o.Metrics = defaults.Metrics(o.Metrics)
	return o
}

// Membership keeps the view of one entry host. It is safe for concurrent use.
type Membership struct {
	opts Options
	view atomic.Pointer[View]

	mu        sync.Mutex
	table     *table
	published time.Time
	draining  bool
	listed    bool // a list has been read, from the platform or from a peer
	work      sync.WaitGroup
}

// New returns a membership that knows only this host; call Run.
func New(opts Options) *Membership {
	opts = opts.withDefaults()
	m := &Membership{opts: opts, table: newTable(opts.Self)}
	m.table.put(opts.Now(), opts.Self)
	m.view.Store(m.table.view(opts.Now()))
	return m
}

var _ Source = (*Membership)(nil)

// View implements Source.
func (m *Membership) View() *View { return m.view.Load() }

// Statuses returns the last status heard of each entry host, by name.
func (m *Membership) Statuses() map[string]Status {
	m.mu.Lock()
	defer m.mu.Unlock()
	out := make(map[string]Status)
	for name, r := range m.table.records {
		if !r.status.At.IsZero() {
			out[name] = r.status
		}
	}
	out[m.opts.Self.Name] = m.opts.Status()
	return out
}

// PlatformProxies returns the peer addresses to ask for a platform call, best first:
// this failure domain's, then the others', without those that said that they do
// not reach the platform. Before any peer is known they are the seeds.
func (m *Membership) PlatformProxies() []string {
	m.mu.Lock()
	defer m.mu.Unlock()
	view := m.view.Load()
	var near, far []string
	for _, h := range view.Peers() {
		r := m.table.records[h.Name]
		switch {
		case r == nil || r.status.PlatformDown:
		case h.FailureDomain == view.Self.FailureDomain:
			near = append(near, h.PeerAddress)
		default:
			far = append(far, h.PeerAddress)
		}
	}
	if len(view.Hosts) <= 1 {
		return m.opts.Seeds
	}
	return append(near, far...)
}

// RecordContact tells that a host was seen to answer. It keeps the host in the view
// although the list lacks it.
func (m *Membership) RecordContact(name string) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.table.observe(m.opts.Now(), name)
}

// AnnounceDrain makes this host tell its peers that it leaves.
func (m *Membership) AnnounceDrain() {
	m.mu.Lock()
	m.draining = true
	for _, r := range m.table.records {
		r.untold = true
	}
	m.mu.Unlock()
}

// Run reads the list and exchanges heartbeats until ctx ends. It returns nil.
func (m *Membership) Run(ctx context.Context) error {
	m.work.Go(func() { m.readLists(ctx) })
	ticker := time.NewTicker(tickInterval)
	defer ticker.Stop()
	for ctx.Err() == nil {
		m.tick(ctx)
		select {
		case <-ticker.C:
		case <-ctx.Done():
		}
	}
	m.work.Wait()
	return nil
}

func (m *Membership) tick(ctx context.Context) {
	m.mu.Lock()
	now := m.opts.Now()
	due := m.table.due(now)
	if now.Sub(m.published) >= publishInterval {
		m.publish()
	}
	m.mu.Unlock()
	for _, h := range due {
		m.work.Go(func() { m.beat(ctx, h.PeerAddress) })
	}
}

// publish makes the table's view the present one. The caller holds mu.
func (m *Membership) publish() {
	m.published = m.opts.Now()
	v := m.table.view(m.published)
	m.view.Store(v)
	m.opts.Metrics.GetOrCreateGauge("cyclamentray_membership_hosts", nil).Set(float64(len(v.Hosts)))
	m.opts.Metrics.GetOrCreateGauge("cyclamentray_membership_silent_peers", nil).Set(float64(len(v.Silent)))
}

func (m *Membership) self() Beat {
	m.mu.Lock()
	draining := m.draining
	m.mu.Unlock()
	return Beat{Host: m.opts.Self, Incarnation: m.opts.Incarnation, Draining: draining, Status: m.opts.Status()}
}

func (m *Membership) beat(ctx context.Context, address string) {
	ctx, cancel := context.WithTimeout(ctx, heartbeatTimeout)
	defer cancel()
	var reply Beat
	if err := m.opts.Peers.Call(ctx, address, "Membership.Beat", m.self(), &reply); err != nil {
		m.opts.Metrics.GetOrCreateCounter("cyclamentray_membership_heartbeat_failures_total").Inc()
		return
	}
	m.heard(reply)
}

func (m *Membership) heard(b Beat) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.table.applyBeat(m.opts.Now(), b) {
		m.publish()
	}
}

// readLists reads the list again and again. A list that can be watched is sent
// only when it changed, which matters at a thousand hosts.
func (m *Membership) readLists(ctx context.Context) {
	watcher, watches := m.opts.Lister.(kvstore.HostWatcher)
	var index uint64
	for ctx.Err() == nil {
		var err error
		if watches && index > 0 {
			index, err = m.watchList(ctx, watcher, index)
		} else {
			index, err = m.readList(ctx, watcher)
		}
		if err != nil || !watches {
			pause.For(ctx, listInterval)
		}
	}
}

// watchList waits for a change of the list. An unchanged list counts as read
// once more.
func (m *Membership) watchList(ctx context.Context, watcher kvstore.HostWatcher, index uint64) (uint64, error) {
	ctx, cancel := context.WithTimeout(ctx, listWatchTimeout)
	defer cancel()
	hosts, next, err := watcher.WatchHosts(ctx, index)
	if err != nil {
		return 0, m.listFailed(ctx, err)
	}
	if hosts != nil {
		m.applyList(hosts)
	} else {
		m.repeatList()
	}
	return next, nil
}

func (m *Membership) readList(ctx context.Context, watcher kvstore.HostWatcher) (index uint64, err error) {
	callCtx, cancel := context.WithTimeout(ctx, listTimeout)
	defer cancel()
	var hosts []kvstore.Host
	if watcher != nil {
		hosts, index, err = watcher.WatchHosts(callCtx, 0)
	} else {
		hosts, err = m.opts.Lister.Hosts(callCtx)
	}
	if err != nil {
		return 0, m.listFailed(ctx, err)
	}
	m.applyList(hosts)
	return index, nil
}

func (m *Membership) listFailed(ctx context.Context, err error) error {
	m.opts.Metrics.GetOrCreateCounter("cyclamentray_membership_list_failures_total").Inc()
	m.mu.Lock()
	listed := m.listed
	m.mu.Unlock()
	if !listed {
		m.askSeeds(ctx)
	}
	return err
}

// askSeeds takes over a peer's view: a host that boots while the platform is
// away has nothing else to start from.
func (m *Membership) askSeeds(ctx context.Context) {
	for _, address := range m.opts.Seeds {
		callCtx, cancel := context.WithTimeout(ctx, heartbeatTimeout)
		var hosts []kvstore.Host
		err := m.opts.Peers.Call(callCtx, address, "Membership.Hosts", m.self(), &hosts)
		cancel()
		if err == nil && len(hosts) > 1 {
			m.applyList(hosts)
			return
		}
	}
}

func (m *Membership) applyList(hosts []kvstore.Host) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.listed = true
	m.table.applyList(m.opts.Now(), hosts)
	m.table.put(m.opts.Now(), m.opts.Self).absentReads = 0
	m.publish()
}

// HasHostList reports whether a host list was read, from the platform or a peer.
func (m *Membership) HasHostList() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.listed
}

func (m *Membership) repeatList() {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.table.repeatList(m.opts.Now())
	m.publish()
}

// RegisterPeer publishes the slice's net/rpc service.
func (m *Membership) RegisterPeer(s *peer.Server) error {
	return s.Register("Membership", &service{m: m})
}

// service answers peers.
type service struct{ m *Membership }

// Beat exchanges heartbeats.
func (s *service) Beat(b Beat, reply *Beat) error {
	s.m.heard(b)
	*reply = s.m.self()
	return nil
}

// Hosts tells a booting peer which hosts there are.
func (s *service) Hosts(b Beat, reply *[]kvstore.Host) error {
	s.m.heard(b)
	*reply = s.m.View().Hosts
	return nil
}
