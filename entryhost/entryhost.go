// Package entryhost wires the slices into one entry host: it serves callers
// and operators over HTTP and other entry hosts over net/rpc, and drains
// without cutting off a request.
package entryhost

import (
	"context"
	"crypto/tls"
	"net"
	"net/http"
	"os"
	"strconv"
	"sync/atomic"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/charmbracelet/log"
	"github.com/cockroachdb/errors"
	"golang.org/x/sync/errgroup"

	"github.com/cyclamentray/cyclamentray/auth"
	"github.com/cyclamentray/cyclamentray/internal/defaults"
	"github.com/cyclamentray/cyclamentray/kvstore"
	"github.com/cyclamentray/cyclamentray/settings"
)

const (
	readHeaderTimeout = 10 * time.Second
	readTimeout       = time.Minute // of a whole request, its body included
	idleTimeout       = 2 * time.Minute
)

// Options are what an entry host needs.
type Options struct {
	Settings *settings.Settings
	HTTP     net.Listener // nil: Settings.Listen.HTTP is listened on
	Peer     net.Listener // nil: Settings.Listen.Peer is listened on
	Logger   *log.Logger  // nil: logs to standard error
	Metrics  *metrics.Set // nil: a set of its own
	Now      func() time.Time
}

// Host is one entry host. Run serves until its context ends and then drains.
type Host struct {
	opts   Options
	log    *log.Logger
	keys   keys
	slices *slices
	server *http.Server
	ready  atomic.Bool
}

// New wires an entry host; it listens and acts only once Run is called.
func New(o Options) (*Host, error) {
	o.Now = defaults.Now(o.Now)
	o.Metrics = defaults.Metrics(o.Metrics)
	if o.Logger == nil {
		o.Logger = log.New(os.Stderr)
	}
	h := &Host{opts: o, log: o.Logger.WithPrefix("entryhost")}
	if err := h.listen(); err != nil {
		return nil, err
	}
	if err := h.loadKeys(); err != nil {
		return nil, err
	}
	built, err := newSlices(h)
	if err != nil {
		return nil, err
	}
	h.slices = built
	h.server = &http.Server{
		Handler:           h.handler(),
		ReadHeaderTimeout: readHeaderTimeout,
		ReadTimeout:       readTimeout,
		IdleTimeout:       idleTimeout,
	}
	return h, nil
}

// Address returns the IP:port of the HTTP listener.
func (h *Host) Address() string { return h.opts.HTTP.Addr().String() }

// PeerAddress returns the IP:port of the net/rpc listener.
func (h *Host) PeerAddress() string { return h.opts.Peer.Addr().String() }

// Self returns this host's line of the host list.
func (h *Host) Self() kvstore.Host { return h.opts.Settings.Self() }

func (h *Host) listen() error {
	var err error
	if h.opts.HTTP == nil {
		h.opts.HTTP, err = net.Listen("tcp", h.opts.Settings.Listen.HTTP)
		if err != nil {
			return errors.Wrap(err, "listening for callers; free the port or change listen.http")
		}
	}
	if h.opts.Peer == nil {
		h.opts.Peer, err = net.Listen("tcp", h.opts.Settings.Listen.Peer)
		if err != nil {
			return errors.Wrap(err, "listening for entry hosts; free the port or change listen.peer")
		}
	}
	return nil
}

// Run serves until ctx ends, then drains: it reports not ready, hands over the
// term, and serves on until the balancer has seen it and every request in
// flight is answered.
func (h *Host) Run(ctx context.Context) error {
	background, stop := context.WithCancel(context.Background())
	defer stop()
	group, background := errgroup.WithContext(background)
	h.slices.run(background, group)
	for _, k := range []*auth.Keys{h.keys.http, h.keys.peer} {
		if k != nil {
			group.Go(func() error { return k.Run(background) })
		}
	}
	group.Go(h.servePeers)
	group.Go(h.serveHTTP)
	h.ready.Store(true)
	h.log.Info("serving", "http", h.Address(), "peer", h.PeerAddress())
	select {
	case <-ctx.Done():
		h.drain()
	case <-background.Done():
	}
	stop()
	h.close()
	return group.Wait()
}

func (h *Host) serveHTTP() error {
	listener := h.opts.HTTP
	if h.keys.http != nil {
		listener = tls.NewListener(listener, h.keys.http.ServerConfig())
	}
	err := h.server.Serve(listener)
	if errors.Is(err, http.ErrServerClosed) {
		return nil
	}
	return errors.Wrap(err, "serving callers")
}

func (h *Host) servePeers() error {
	return errors.Wrap(h.slices.peerServer.Serve(h.opts.Peer), "serving entry hosts")
}

// drain leaves in an order that cuts off nothing: others take over first.
func (h *Host) drain() {
	timing := h.opts.Settings.Timing
	h.ready.Store(false)
	h.log.Info("draining", "wait", timing.DrainWait(), "limit", timing.DrainTimeout())
	h.slices.membership.AnnounceDrain()
	ctx, cancel := context.WithTimeout(context.Background(), timing.DrainWait()+timing.DrainTimeout())
	defer cancel()
	if err := h.slices.election.Resign(ctx); err != nil {
		h.log.Warn("term not handed over; it lapses by itself", "err", err)
	}
	if err := h.slices.router.Drain(ctx); err != nil {
		h.log.Error("requests were still in flight at the limit", "err", err)
	}
	if err := h.server.Shutdown(ctx); err != nil {
		h.log.Error("connections were still busy at the limit", "err", err)
	}
	h.log.Info("drained")
}

func (h *Host) close() {
	_ = h.server.Close()
	_ = h.slices.peerServer.Close()
	_ = h.slices.peers.Close()
}

// newIncarnation returns a text that differs each time a host starts.
func newIncarnation(now time.Time) string {
	return strconv.FormatInt(now.UnixNano(), 36) + "-" + strconv.Itoa(os.Getpid())
}

// Revision returns the configuration revision in force on this host.
func (h *Host) Revision() uint64 {
	snap, _ := h.slices.config.Current()
	return snap.Revision
}
