package config

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/charmbracelet/log"

	"github.com/cyclamentray/cyclamentray/internal/defaults"
	"github.com/cyclamentray/cyclamentray/kvstore"
	"github.com/cyclamentray/cyclamentray/membership"
	"github.com/cyclamentray/cyclamentray/peer"
)

const (
	// schedulerReadInterval is the time between two reads of the head by a
	// scheduler. Reads may overlap, so that a slow platform delays confirmations
	// but does not make them less frequent.
	schedulerReadInterval = 500 * time.Millisecond
	// relayReadInterval is the time between two reads of the head by a host that
	// is no scheduler.
	relayReadInterval = time.Second
	headReadTimeout   = 2 * time.Second
	maxReadsInFlight  = 4
	// fetchTimeout bounds loading one revision.
	fetchTimeout = 10 * time.Second
	// staleAfter is the age of the last confirmation from which a host also asks
	// its peers, every peerFetchInterval.
	staleAfter        = 2 * time.Second
	peerFetchInterval = 2 * time.Second
	// maxPastManifests is the number of past manifests kept, so that peers can be
	// sent only the changes since theirs.
	maxPastManifests = 64
)

// Options configures a Distributor.
type Options struct {
	Store   kvstore.Store
	Peers   peer.Caller
	Members membership.Source
	Seeds   []string    // addresses of peers to fetch from before members are known
	Direct  func() bool // reports whether this host must read the platform itself, as a scheduler must; nil: no
	Now     func() time.Time
	Logger  *log.Logger
	Metrics *metrics.Set
}

func (o Options) withDefaults() Options {
	if o.Direct == nil {
		o.Direct = func() bool { return false }
	}
	o.Now = defaults.Now(o.Now)
	o.Logger = defaults.Logger(o.Logger)
	o.Metrics = defaults.Metrics(o.Metrics)
	return o
}

// Distributor keeps one entry host's copy of the configuration up to date. In each
// failure domain one host, the relay, reads the platform, and the others poll the
// relay; a host whose relay fails, or whose Options.Direct returns true, reads the
// platform itself. It is safe for concurrent use.
type Distributor struct {
	opts       Options
	repository repository
	fetched    fetchedContent // of the revision that is being loaded

	mu                sync.Mutex
	current           *configuration
	confirmed         time.Time      // local time before the read that confirmed current; zero: never
	pastManifests     []manifest     // oldest first, without the current one
	changed           chan struct{}  // closed and replaced when current changes
	readsInFlight     int            // reads of the head in flight
	lastReadSent      time.Time      // when the last read of the head was sent
	fetchingRevision  uint64         // revision being fetched; 0: none
	relayRetryAt      time.Time      // until then the platform is read instead of polling the relay
	relayPollInFlight bool           // whether a poll of the relay is in flight
	lastPeerFetch     time.Time      // when a random peer was last asked because of staleness
	calls             sync.WaitGroup // calls started by tick; Run waits for them
}

// NewDistributor returns a distributor with an empty configuration. Run fills it and
// keeps it up to date.
func NewDistributor(opts Options) *Distributor {
	d := &Distributor{
		opts:       opts.withDefaults(),
		repository: repository{store: opts.Store},
		current:    emptyConfiguration(),
		changed:    make(chan struct{}),
	}
	d.opts.Metrics.GetOrCreateGauge("cyclamentray_config_revision", func() float64 { return float64(d.currentConfiguration().manifest.Revision) })
	d.opts.Metrics.GetOrCreateGauge("cyclamentray_config_age_seconds", func() float64 { return d.Age().Seconds() })
	return d
}

var _ Source = (*Distributor)(nil)

// Current implements Source.
func (d *Distributor) Current() (snap *Snapshot, confirmed time.Time) {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.current.snap, d.confirmed
}

// Changed implements Source.
func (d *Distributor) Changed() <-chan struct{} {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.changed
}

// Age returns the time since the snapshot was last confirmed as the newest, or an
// hour if it never was.
func (d *Distributor) Age() time.Duration {
	_, confirmed := d.Current()
	if confirmed.IsZero() {
		return time.Hour
	}
	return d.opts.Now().Sub(confirmed)
}

// currentConfiguration returns the configuration whose snapshot Current returns.
func (d *Distributor) currentConfiguration() *configuration {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.current
}

// Run keeps the configuration up to date until ctx ends. It returns nil.
func (d *Distributor) Run(ctx context.Context) error {
	ticker := time.NewTicker(schedulerReadInterval)
	defer ticker.Stop()
	for ctx.Err() == nil {
		d.tick(ctx)
		select {
		case <-ticker.C:
		case <-ctx.Done():
		}
	}
	d.calls.Wait()
	return nil
}

// tick starts the calls that planTick chooses and does not wait for them.
func (d *Distributor) tick(ctx context.Context) {
	relay := d.relayAddress()
	plan := d.planTick(d.opts.Now(), relay != "", d.opts.Direct())
	if plan.readHead {
		d.calls.Go(func() { d.readHead(ctx) })
	}
	if plan.pollRelay {
		d.calls.Go(func() { d.pollRelay(ctx, relay) })
	}
	if plan.fetchFromPeer {
		d.calls.Go(func() { d.fetchFromRandomPeer(ctx) })
	}
}

// tickPlan is the set of calls that a tick starts.
type tickPlan struct {
	readHead      bool // read the head from the platform
	pollRelay     bool // poll the relay
	fetchFromPeer bool // ask a random peer, as the last confirmation is older than staleAfter
}

// planTick decides which calls to start at now and records them as started.
// mustReadPlatform is the value of Options.Direct.
func (d *Distributor) planTick(now time.Time, hasRelay, mustReadPlatform bool) (plan tickPlan) {
	d.mu.Lock()
	defer d.mu.Unlock()
	direct := mustReadPlatform || !hasRelay || now.Before(d.relayRetryAt)
	intervalElapsed := mustReadPlatform || now.Sub(d.lastReadSent) >= relayReadInterval-schedulerReadInterval/2
	if direct && intervalElapsed && d.readsInFlight < maxReadsInFlight {
		plan.readHead = true
		d.readsInFlight++
		d.lastReadSent = now
	}
	if !direct && !d.relayPollInFlight {
		plan.pollRelay = true
		d.relayPollInFlight = true
	}
	if now.Sub(d.confirmed) > staleAfter && now.Sub(d.lastPeerFetch) >= peerFetchInterval {
		plan.fetchFromPeer = true
		d.lastPeerFetch = now
	}
	return plan
}

// relayAddress returns the address of this failure domain's relay: the host first
// by name that is neither leaving nor silent. It is empty if this host is the relay.
func (d *Distributor) relayAddress() string {
	if d.opts.Members == nil || d.opts.Peers == nil {
		return ""
	}
	view := d.opts.Members.View()
	for _, h := range view.LocalPeers() {
		if h.Name < view.Self.Name && !h.Leaving {
			return h.PeerAddress
		}
	}
	return ""
}

// readHead reads from the platform which revision is the newest, and loads that
// revision if this host does not have it.
func (d *Distributor) readHead(ctx context.Context) {
	defer func() {
		d.mu.Lock()
		d.readsInFlight--
		d.mu.Unlock()
	}()
	callCtx, cancel := context.WithTimeout(kvstore.Urgent(ctx), headReadTimeout)
	defer cancel()
	sent := d.opts.Now()
	h, _, err := d.repository.readHead(callCtx)
	if err != nil {
		d.opts.Metrics.GetOrCreateCounter("cyclamentray_config_read_failures_total").Inc()
		return
	}
	if d.confirmHead(h, sent) {
		return
	}
	d.fetchRevision(ctx, h, sent)
}

// confirmHead compares a head with the current configuration. sent is the time before
// the head was read. It returns false if the head is newer. If the head names the
// current configuration, that is confirmed as of sent. A head that is older or of
// another manifest is a stale answer, which confirms nothing and is only counted.
func (d *Distributor) confirmHead(h head, sent time.Time) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	switch {
	case h.Revision > d.current.manifest.Revision:
		return false
	case h.Revision < d.current.manifest.Revision || h.Manifest != d.current.hash:
		d.opts.Metrics.GetOrCreateCounter("cyclamentray_config_stale_reads_total").Inc()
	case sent.After(d.confirmed):
		d.confirmed = sent
	}
	return true
}

// fetchRevision loads the newer revision that h names and adopts it. It does nothing
// if that or a later revision is being fetched already.
func (d *Distributor) fetchRevision(ctx context.Context, h head, sent time.Time) {
	d.mu.Lock()
	if d.fetchingRevision >= h.Revision {
		d.mu.Unlock()
		return
	}
	d.fetchingRevision = h.Revision
	known := d.current
	d.mu.Unlock()
	ctx, cancel := context.WithTimeout(ctx, fetchTimeout)
	defer cancel()
	if known.manifest.Revision == 0 { // a peer's copy saves the platform hundreds of reads when a host starts
		d.fetchFromRandomPeer(ctx)
		known = d.currentConfiguration()
	}
	next, err := d.repository.load(ctx, h, known, &d.fetched)
	if err == nil {
		d.adopt(next, sent)
	} else {
		d.opts.Logger.Warn("could not load revision", "revision", h.Revision, "err", err)
	}
	d.mu.Lock()
	if d.fetchingRevision == h.Revision {
		d.fetchingRevision = 0
	}
	d.mu.Unlock()
}

// adopt puts next in force if it is newer than the current configuration.
// confirmed is the time at which the platform is known to have named it as the
// newest; zero if unknown.
func (d *Distributor) adopt(next *configuration, confirmed time.Time) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if next.manifest.Revision < d.current.manifest.Revision {
		return
	}
	if next.manifest.Revision > d.current.manifest.Revision {
		d.pastManifests = append(d.pastManifests, d.current.manifest)
		if len(d.pastManifests) > maxPastManifests {
			d.pastManifests = d.pastManifests[1:]
		}
		d.current = next
		close(d.changed)
		d.changed = make(chan struct{})
		d.opts.Logger.Info("revision in force", "revision", next.manifest.Revision)
	}
	if confirmed.After(d.confirmed) {
		d.confirmed = confirmed
	}
}

// fetchFromRandomPeer asks one random peer or seed for a newer configuration and a
// later confirmation.
func (d *Distributor) fetchFromRandomPeer(ctx context.Context) {
	if d.opts.Peers == nil {
		return
	}
	addresses := append([]string(nil), d.opts.Seeds...)
	if d.opts.Members != nil {
		for _, h := range d.opts.Members.View().Peers() {
			addresses = append(addresses, h.PeerAddress)
		}
	}
	if len(addresses) > 0 {
		_ = d.fetchFromPeer(ctx, addresses[rand.IntN(len(addresses))], 0)
	}
}
