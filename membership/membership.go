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
	localHeartbeatInterval  = time.Second      // between heartbeats within a failure domain
	remoteHeartbeatInterval = 10 * time.Second // between heartbeats across failure domains
	tickInterval            = 250 * time.Millisecond
	publishInterval         = time.Second // between views when nothing but time has changed
	listPollInterval        = 3 * time.Second
	listReadTimeout         = 2 * time.Second
	listWatchTimeout        = 15 * time.Second
	heartbeatTimeout        = time.Second // also of a request to a seed for its host list
)

// Status is the state that an entry host reports in its heartbeats, for operators and
// for choosing peers.
type Status struct {
	Revision     uint64        // of the configuration in force
	RevisionAge  time.Duration // time since the platform confirmed the revision, at sending
	Term         uint64        // fencing term; 0: the host schedules nothing
	PlatformDown bool          // the host cannot reach the platform directly
	At           time.Time     `json:"-"` // local time at which the status was received
}

// Beat is a heartbeat message or the reply to one.
type Beat struct {
	Host        kvstore.Host
	Incarnation string
	Draining    bool
	Status      Status
}

// Options configures a Membership.
type Options struct {
	Self        kvstore.Host
	Incarnation string             // changes when the process restarts
	Lister      kvstore.HostLister // watched instead of polled if it is a kvstore.HostWatcher
	Peers       peer.Caller
	Seeds       []string      // peer addresses to ask until a host list has been read
	Status      func() Status // this host's status; nil: the zero Status
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

// Membership maintains one entry host's view. It is safe for concurrent use.
type Membership struct {
	opts Options
	view atomic.Pointer[View]

	mu         sync.Mutex
	table      *table
	published  time.Time // when the current view was published
	draining   bool
	listed     bool           // a host list has been read, from the platform or from a peer
	goroutines sync.WaitGroup // started by Run; not guarded by mu
}

// New returns a Membership whose view holds only this host at first. Call Run to
// follow the host list.
func New(opts Options) *Membership {
	opts = opts.withDefaults()
	m := &Membership{opts: opts, table: newTable(opts.Self)}
	m.table.upsert(opts.Now(), opts.Self)
	m.view.Store(m.table.view(opts.Now()))
	return m
}

var _ Source = (*Membership)(nil)

// View implements Source.
func (m *Membership) View() *View { return m.view.Load() }

// Statuses returns, by name, the last status received from each entry host and this
// host's own.
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

// PlatformProxies returns the addresses of peers that can make platform calls for this
// host, in order of preference: peers in this failure domain come before the others,
// and peers that reported that they cannot reach the platform are left out. While the
// view holds no other host, it returns the seeds.
func (m *Membership) PlatformProxies() []string {
	m.mu.Lock()
	defer m.mu.Unlock()
	view := m.view.Load()
	var local, remote []string
	for _, h := range view.Peers() {
		r := m.table.records[h.Name]
		switch {
		case r == nil || r.status.PlatformDown:
		case h.FailureDomain == view.Self.FailureDomain:
			local = append(local, h.PeerAddress)
		default:
			remote = append(remote, h.PeerAddress)
		}
	}
	if len(view.Hosts) <= 1 {
		return m.opts.Seeds
	}
	return append(local, remote...)
}

// RecordContact records that a host answered this one directly. This keeps the host in
// the view for contactValidity even if the host list lacks it.
func (m *Membership) RecordContact(name string) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.table.recordContact(m.opts.Now(), name)
}

// AnnounceDrain marks this host as draining. At the next tick, Run sends every other
// entry host a heartbeat that says so.
func (m *Membership) AnnounceDrain() {
	m.mu.Lock()
	m.draining = true
	for _, r := range m.table.records {
		r.heartbeatDue = true
	}
	m.mu.Unlock()
}

// Run follows the host list and exchanges heartbeats until ctx ends. It returns nil.
func (m *Membership) Run(ctx context.Context) error {
	m.goroutines.Go(func() { m.followList(ctx) })
	ticker := time.NewTicker(tickInterval)
	defer ticker.Stop()
	for ctx.Err() == nil {
		m.tick(ctx)
		select {
		case <-ticker.C:
		case <-ctx.Done():
		}
	}
	m.goroutines.Wait()
	return nil
}

// tick starts the heartbeat exchanges that are due and publishes a new view once the
// current one is publishInterval old.
func (m *Membership) tick(ctx context.Context) {
	m.mu.Lock()
	now := m.opts.Now()
	due := m.table.takeDuePeers(now)
	if now.Sub(m.published) >= publishInterval {
		m.publish()
	}
	m.mu.Unlock()
	for _, h := range due {
		m.goroutines.Go(func() { m.exchangeHeartbeats(ctx, h.PeerAddress) })
	}
}

// publish makes the current view of the table available to View. The caller holds mu.
func (m *Membership) publish() {
	m.published = m.opts.Now()
	v := m.table.view(m.published)
	m.view.Store(v)
	m.opts.Metrics.GetOrCreateGauge("cyclamentray_membership_hosts", nil).Set(float64(len(v.Hosts)))
	m.opts.Metrics.GetOrCreateGauge("cyclamentray_membership_silent_peers", nil).Set(float64(len(v.Silent)))
}

func (m *Membership) ownHeartbeat() Beat {
	m.mu.Lock()
	draining := m.draining
	m.mu.Unlock()
	return Beat{Host: m.opts.Self, Incarnation: m.opts.Incarnation, Draining: draining, Status: m.opts.Status()}
}

func (m *Membership) exchangeHeartbeats(ctx context.Context, address string) {
	ctx, cancel := context.WithTimeout(ctx, heartbeatTimeout)
	defer cancel()
	var reply Beat
	if err := m.opts.Peers.Call(ctx, address, "Membership.Beat", m.ownHeartbeat(), &reply); err != nil {
		m.opts.Metrics.GetOrCreateCounter("cyclamentray_membership_heartbeat_failures_total").Inc()
		return
	}
	m.recordHeartbeat(reply)
}

func (m *Membership) recordHeartbeat(b Beat) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.table.applyHeartbeat(m.opts.Now(), b) {
		m.publish()
	}
}

// followList keeps the table up to date with the host list until ctx ends. It watches
// the list if the lister can, since a watched list is sent only when it has changed,
// which matters at 1000 hosts; otherwise it polls.
func (m *Membership) followList(ctx context.Context) {
	watcher, canWatch := m.opts.Lister.(kvstore.HostWatcher)
	var index uint64
	for ctx.Err() == nil {
		var err error
		if canWatch && index > 0 {
			index, err = m.watchList(ctx, watcher, index)
		} else {
			index, err = m.readList(ctx, watcher)
		}
		if err != nil || !canWatch {
			pause.For(ctx, listPollInterval)
		}
	}
}

// watchList waits for a change of the host list and returns the index to watch from
// next. A reply that says that the list is unchanged counts as one more read of it.
func (m *Membership) watchList(ctx context.Context, watcher kvstore.HostWatcher, index uint64) (uint64, error) {
	ctx, cancel := context.WithTimeout(ctx, listWatchTimeout)
	defer cancel()
	hosts, next, err := watcher.WatchHosts(ctx, index)
	if err != nil {
		return 0, m.handleListError(ctx, err)
	}
	if hosts != nil {
		m.applyList(hosts)
	} else {
		m.confirmList()
	}
	return next, nil
}

// readList reads the host list and returns the index to watch from next, which is 0 if
// watcher is nil.
func (m *Membership) readList(ctx context.Context, watcher kvstore.HostWatcher) (index uint64, err error) {
	callCtx, cancel := context.WithTimeout(ctx, listReadTimeout)
	defer cancel()
	var hosts []kvstore.Host
	if watcher != nil {
		hosts, index, err = watcher.WatchHosts(callCtx, 0)
	} else {
		hosts, err = m.opts.Lister.Hosts(callCtx)
	}
	if err != nil {
		return 0, m.handleListError(ctx, err)
	}
	m.applyList(hosts)
	return index, nil
}

// handleListError counts a failed read of the host list and returns err. If no list has
// been read yet, it asks the seeds for theirs.
func (m *Membership) handleListError(ctx context.Context, err error) error {
	m.opts.Metrics.GetOrCreateCounter("cyclamentray_membership_list_failures_total").Inc()
	m.mu.Lock()
	listed := m.listed
	m.mu.Unlock()
	if !listed {
		m.readListFromSeeds(ctx)
	}
	return err
}

// readListFromSeeds copies the host list of the first seed that has more than one host
// in view. A host that boots during a platform outage has no other source of hosts.
func (m *Membership) readListFromSeeds(ctx context.Context) {
	for _, address := range m.opts.Seeds {
		callCtx, cancel := context.WithTimeout(ctx, heartbeatTimeout)
		var hosts []kvstore.Host
		err := m.opts.Peers.Call(callCtx, address, "Membership.Hosts", m.ownHeartbeat(), &hosts)
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
	// This host stays in its own view even if the list lacks it.
	m.table.upsert(m.opts.Now(), m.opts.Self).absentReads = 0
	m.publish()
}

// HasHostList reports whether a host list has been read, from the platform or from a
// peer.
func (m *Membership) HasHostList() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.listed
}

// confirmList records one more read of an unchanged host list.
func (m *Membership) confirmList() {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.table.confirmList(m.opts.Now())
	m.publish()
}

// RegisterPeer registers the net/rpc service Membership with s.
func (m *Membership) RegisterPeer(s *peer.Server) error {
	return s.Register("Membership", &service{m: m})
}

// service is the net/rpc service that peers call.
type service struct{ m *Membership }

// Beat records the caller's heartbeat and replies with this host's.
func (s *service) Beat(b Beat, reply *Beat) error {
	s.m.recordHeartbeat(b)
	*reply = s.m.ownHeartbeat()
	return nil
}

// Hosts records the heartbeat of a peer that boots and replies with the hosts in view.
func (s *service) Hosts(b Beat, reply *[]kvstore.Host) error {
	s.m.recordHeartbeat(b)
	*reply = s.m.View().Hosts
	return nil
}
