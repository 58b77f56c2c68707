// Package entryhost builds one entry host from its components and runs it. The host
// serves callers and operators over HTTP and other entry hosts over net/rpc, and on
// shutdown it drains without interrupting a request. The package keeps the listeners,
// the TLS keys and whether the host is ready; all other state belongs to the
// components. The entry host's command, and the development deployment, create and
// run a Host.
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
	readTimeout       = time.Minute // of a whole request, including its body
	idleTimeout       = 2 * time.Minute
)

// Options configures a Host.
type Options struct {
	Settings *settings.Settings
	HTTP     net.Listener // nil: New listens on Settings.Listen.HTTP
	Peer     net.Listener // nil: New listens on Settings.Listen.Peer
	Logger   *log.Logger  // nil: logs to standard error
	Metrics  *metrics.Set // nil: a new set
	Now      func() time.Time
}

// Host is one entry host.
type Host struct {
	opts       Options
	log        *log.Logger
	keys       listenerKeys
	components *components
	server     *http.Server
	ready      atomic.Bool
}

// New opens the listeners and builds an entry host. The host serves and acts only
// once Run is called.
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
	built, err := newComponents(h)
	if err != nil {
		return nil, err
	}
	h.components = built
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

// Self returns this host's entry in the host list.
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

// Run serves until ctx ends and then drains: it reports that it is not ready, resigns
// its term, and keeps serving until the load balancer has had time to notice and every
// request in flight has been answered. It also returns when a component fails.
func (h *Host) Run(ctx context.Context) error {
	background, stop := context.WithCancel(context.Background())
	defer stop()
	group, background := errgroup.WithContext(background)
	h.components.run(background, group)
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
	h.closeConnections()
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
	return errors.Wrap(h.components.peerServer.Serve(h.opts.Peer), "serving entry hosts")
}

// drain stops the host's work in an order that interrupts no request: it announces the
// drain to the peers and resigns the term, so that other hosts take over, and then waits
// for the requests in flight.
func (h *Host) drain() {
	timing := h.opts.Settings.Timing
	h.ready.Store(false)
	h.log.Info("draining", "wait", timing.DrainWait(), "limit", timing.DrainTimeout())
	h.components.membership.AnnounceDrain()
	ctx, cancel := context.WithTimeout(context.Background(), timing.DrainWait()+timing.DrainTimeout())
	defer cancel()
	if err := h.components.election.Resign(ctx); err != nil {
		h.log.Warn("failed to revoke the scheduler's lease; it expires after its TTL", "err", err)
	}
	if err := h.components.router.Drain(ctx); err != nil {
		h.log.Error("drain timed out with requests still in flight", "err", err)
	}
	if err := h.server.Shutdown(ctx); err != nil {
		h.log.Error("drain timed out with connections still busy", "err", err)
	}
	h.log.Info("drained")
}

func (h *Host) closeConnections() {
	_ = h.server.Close()
	_ = h.components.peerServer.Close()
	_ = h.components.peers.Close()
}

// newIncarnation returns an identifier that differs for each start of the process.
func newIncarnation(now time.Time) string {
	return strconv.FormatInt(now.UnixNano(), 36) + "-" + strconv.Itoa(os.Getpid())
}

// Revision returns the configuration revision in force on this host.
func (h *Host) Revision() uint64 {
	snap, _ := h.components.config.Current()
	return snap.Revision
}
