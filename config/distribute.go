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
	// readInterval is the time between freshness reads of a scheduler. They
	// overlap, so that a slow platform delays what is known without stopping it.
	readInterval = 500 * time.Millisecond
	// relayInterval is the same for a host that only passes the news on.
	relayInterval = time.Second
	readTimeout   = 2 * time.Second
	maxReads      = 4 // in flight at once
	// fetchTimeout bounds the fetching of a whole revision.
	fetchTimeout = 10 * time.Second
	// staleAfter is the age from which a host also asks its peers.
	staleAfter      = 2 * time.Second
	askPeerInterval = 2 * time.Second
	// keptManifests is how many past manifests are kept to answer peers with
	// changes alone.
	keptManifests = 64
)

// Options configures a Distributor.
type Options struct {
	Store   kvstore.Store
	Peers   peer.Caller
	Members membership.Source
	Seeds   []string    // peer addresses to ask before members are known
	Direct  func() bool // this host must confirm with the platform itself, as a scheduler must; nil: no
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

// Distributor keeps the newest configuration of one entry host. One host of
// each failure domain reads the platform, and the others ask that one, unless
// it fails them. It is safe for concurrent use.
type Distributor struct {
	opts    Options
	archive archive

	mu        sync.Mutex
	current   *edition
	confirmed time.Time  // local time before the platform was asked
	past      []manifest // oldest first, without the current one
	changed   chan struct{}
	reads     int       // freshness reads in flight
	lastRead  time.Time // when the last one was sent
	fetching  uint64    // revision being fetched; 0: none
	relayOff  time.Time // until then the relay is not asked
	polling   bool      // a call to the relay is in flight
	asked     time.Time // when a peer was last asked because of staleness
	work      sync.WaitGroup
}

// NewDistributor returns a distributor that knows nothing; call Run.
func NewDistributor(opts Options) *Distributor {
	d := &Distributor{
		opts:    opts.withDefaults(),
		archive: archive{store: opts.Store},
		current: emptyEdition(),
		changed: make(chan struct{}),
	}
	d.opts.Metrics.GetOrCreateGauge("cyclamentray_config_revision", func() float64 { return float64(d.newest().manifest.Revision) })
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

// Age returns the time since the snapshot was last confirmed as the newest, or
// an hour at least when it never was.
func (d *Distributor) Age() time.Duration {
	_, confirmed := d.Current()
	if confirmed.IsZero() {
		return time.Hour
	}
	return d.opts.Now().Sub(confirmed)
}

func (d *Distributor) newest() *edition {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.current
}

// Run keeps the configuration up to date until ctx ends. It returns nil.
func (d *Distributor) Run(ctx context.Context) error {
	ticker := time.NewTicker(readInterval)
	defer ticker.Stop()
	for ctx.Err() == nil {
		d.tick(ctx)
		select {
		case <-ticker.C:
		case <-ctx.Done():
		}
	}
	d.work.Wait()
	return nil
}

func (d *Distributor) tick(ctx context.Context) {
	relay := d.relay()
	w := d.due(d.opts.Now(), relay != "", d.opts.Direct())
	if w.read {
		d.work.Go(func() { d.readHead(ctx) })
	}
	if w.poll {
		d.work.Go(func() { d.pollRelay(ctx, relay) })
	}
	if w.ask {
		d.work.Go(func() { d.askPeer(ctx) })
	}
}

// dueWork is what a tick starts.
type dueWork struct {
	read bool // read the head from the platform
	poll bool // ask the relay
	ask  bool // ask any peer, as nothing was confirmed lately
}

// due decides what to start at now, and marks it as started.
func (d *Distributor) due(now time.Time, hasRelay, schedules bool) (w dueWork) {
	d.mu.Lock()
	defer d.mu.Unlock()
	direct := schedules || !hasRelay || now.Before(d.relayOff)
	rested := schedules || now.Sub(d.lastRead) >= relayInterval-readInterval/2
	if direct && rested && d.reads < maxReads {
		w.read = true
		d.reads++
		d.lastRead = now
	}
	if !direct && !d.polling {
		w.poll = true
		d.polling = true
	}
	if now.Sub(d.confirmed) > staleAfter && now.Sub(d.asked) >= askPeerInterval {
		w.ask = true
		d.asked = now
	}
	return w
}

// relay returns the address of the neighbour that reads the platform for this
// failure domain: the first by name that neither leaves nor is silent. It is
// empty when that is this host.
func (d *Distributor) relay() string {
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

// readHead asks the platform which revision is the newest.
func (d *Distributor) readHead(ctx context.Context) {
	defer func() {
		d.mu.Lock()
		d.reads--
		d.mu.Unlock()
	}()
	callCtx, cancel := context.WithTimeout(kvstore.Urgent(ctx), readTimeout)
	defer cancel()
	sent := d.opts.Now()
	h, _, err := d.archive.head(callCtx)
	if err != nil {
		d.opts.Metrics.GetOrCreateCounter("cyclamentray_config_read_failures_total").Inc()
		return
	}
	if d.confirm(h, sent) {
		return
	}
	d.fetch(ctx, h, sent)
}

// confirm notes that the platform named the current edition as the newest at
// sent. It returns false when the platform named a newer one. An older one is
// a stale answer and counts for nothing.
func (d *Distributor) confirm(h head, sent time.Time) bool {
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

// fetch reads a newer edition whole. One fetch of a revision runs at a time.
func (d *Distributor) fetch(ctx context.Context, h head, sent time.Time) {
	d.mu.Lock()
	if d.fetching >= h.Revision {
		d.mu.Unlock()
		return
	}
	d.fetching = h.Revision
	known := d.current
	d.mu.Unlock()
	ctx, cancel := context.WithTimeout(ctx, fetchTimeout)
	defer cancel()
	if known.manifest.Revision == 0 { // a booting host spares the platform hundreds of reads
		d.askPeer(ctx)
		known = d.newest()
	}
	next, err := d.archive.load(ctx, h, known)
	if err == nil {
		d.adopt(next, sent)
	} else {
		d.opts.Logger.Warn("revision not taken", "revision", h.Revision, "err", err)
	}
	d.mu.Lock()
	if d.fetching == h.Revision {
		d.fetching = 0
	}
	d.mu.Unlock()
}

// adopt puts an edition in force if it is newer than the current one.
// confirmed is when the platform is known to have named it as the newest; zero
// when it is not known.
func (d *Distributor) adopt(next *edition, confirmed time.Time) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if next.manifest.Revision < d.current.manifest.Revision {
		return
	}
	if next.manifest.Revision > d.current.manifest.Revision {
		d.past = append(d.past, d.current.manifest)
		if len(d.past) > keptManifests {
			d.past = d.past[1:]
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

// askPeer asks one peer for a newer edition while the platform is not heard.
func (d *Distributor) askPeer(ctx context.Context) {
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
		_ = d.ask(ctx, addresses[rand.IntN(len(addresses))], 0)
	}
}
