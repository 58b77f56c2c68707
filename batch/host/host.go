// Package host runs the batch scheduler's parts on one host.
package host

import (
	"context"
	"encoding/json"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/charmbracelet/log"
	"github.com/cockroachdb/errors"

	"github.com/cyclamentray/cyclamentray/batch/dispatch"
	"github.com/cyclamentray/cyclamentray/batch/intake"
	"github.com/cyclamentray/cyclamentray/batch/ledger"
	"github.com/cyclamentray/cyclamentray/internal/pause"
	"github.com/cyclamentray/cyclamentray/internal/steady"
	"github.com/cyclamentray/cyclamentray/kvstore"
	"github.com/cyclamentray/cyclamentray/peer"
)

const (
	// listingTTL is how long a dead host stays listed as a peer.
	listingTTL   = 8 * time.Second
	listingRenew = listingTTL / 4         // three renewals may be lost
	listingRetry = 500 * time.Millisecond // peers are of use only once they are listed
	listingCall  = time.Second            // three calls of a slow store

	// replicaWait is short, so that a connection that has gone silent is replaced soon.
	replicaWait  = time.Second
	replicaPause = 250 * time.Millisecond // batches changes; counts may be 2 s old, and states are asked of the leader

	// unreadyAfter is how long the store may be away, directly and through
	// peers, before the host asks for no new connections.
	unreadyAfter = 1500 * time.Millisecond

	// refuseAfter is how long the store must have been away before callers are
	// refused without a try: longer than a connection that was reset.
	refuseAfter = 200 * time.Millisecond

	// drainNotice is how long a host that stops goes on taking requests: the
	// balancer notices after two looks a second apart.
	drainNotice = 2300 * time.Millisecond

	// drainMargin is left of the time to stop for ending by itself.
	drainMargin = 700 * time.Millisecond

	headerTimeout = 5 * time.Second  // longer than callers wait for an answer
	idleTimeout   = 30 * time.Second // longer than callers pause between requests
)

// Conditions is what operators and runners say.
type Conditions interface {
	dispatch.Conditions
	// FollowOperator keeps the operator's documents current until ctx ends.
	FollowOperator(ctx context.Context)
}

// Options of a Host.
type Options struct {
	Name         string
	PeerAddress  string
	FrontAddress string
	ReadyAddress string
	Grace        time.Duration // from the order to stop to being killed
	Cores        float64       // of processor time; the strongest host leads by preference

	Store      *kvstore.Fallback
	Direct     kvstore.Keyspace // the store without the help of peers, for theirs
	Peers      peer.Caller      // calls other hosts
	Adviser    dispatch.Adviser // nil: there is none
	Conditions Conditions
	Replica    *ledger.Replica
	Dispatch   func() dispatch.Options // asked at the start of each term
	Front      func(*intake.Intake) http.Handler
	Metrics    *metrics.Set

	MetricsAddress string // empty: metrics are not served
	Log            *log.Logger
}

// Host is one host's process.
type Host struct {
	Options
	mu       sync.Mutex
	lostAt   steady.Time // when the store was lost; 0: it is not
	stopping bool
}

// New returns a Host.
func New(o Options) *Host { return &Host{Options: o} }

// Run serves until ctx ends, and then drains.
func (h *Host) Run(ctx context.Context) error {
	serving, stop := context.WithCancel(context.WithoutCancel(ctx))
	defer stop()
	taken := intake.New(intake.Options{
		Store: h.Store, Replica: h.Replica, Configuration: h.Conditions.Configuration, Now: time.Now, Log: h.Log,
		Metrics: h.Metrics, StoreLost: func() bool { return h.lostFor() > refuseAfter },
		Leader: &intake.LeaderCopy{Replica: h.Replica, Peers: h.Peers, Host: h.Name, Log: h.Log},
	})
	front := &http.Server{Handler: h.Front(taken), ReadHeaderTimeout: headerTimeout, IdleTimeout: idleTimeout}
	ready := &http.Server{Handler: http.HandlerFunc(h.serveReady), ReadHeaderTimeout: headerTimeout}
	peers := peer.NewServer(peer.Options{Host: h.Name})
	if err := h.registerPeerCalls(peers); err != nil {
		return err
	}
	failed := make(chan error, 3)
	if err := errors.CombineErrors(serve(h.FrontAddress, front.Serve, failed),
		errors.CombineErrors(serve(h.ReadyAddress, ready.Serve, failed), serve(h.PeerAddress, peers.Serve, failed))); err != nil {
		return err
	}
	observed, err := h.serveMetrics(failed)
	if err != nil {
		return err
	}
	defer observed.Close()
	h.Log.Info("started")
	var parts sync.WaitGroup
	parts.Go(func() { h.Conditions.FollowOperator(serving) })
	parts.Go(func() { h.followReplica(serving) })
	parts.Go(func() { h.keepListed(serving) })
	leading, resign := context.WithCancel(serving)
	defer resign()
	parts.Go(func() { h.candidate().Run(leading) })
	select {
	case <-ctx.Done():
	case err = <-failed:
	}
	h.drain(front, resign)
	stop()
	err = errors.CombineErrors(err, errors.CombineErrors(ready.Close(), peers.Close()))
	parts.Wait()
	h.Log.Info("stopped")
	return err
}

// registerPeerCalls registers what other hosts may call here.
func (h *Host) registerPeerCalls(s *peer.Server) error {
	err := errors.CombineErrors(s.Register("Keyspace", &kvstore.KeyspaceService{Store: h.Direct}),
		s.Register("Jobs", &intake.StateService{Replica: h.Replica}))
	if h.Adviser != nil {
		err = errors.CombineErrors(err, s.Register("Advice", &dispatch.AdviceService{Adviser: h.Adviser}))
	}
	return err
}

func serve(address string, run func(net.Listener) error, failed chan<- error) error {
	l, err := net.Listen("tcp", address)
	if err != nil {
		return errors.Wrapf(err, "listening on %s", address)
	}
	go func() {
		if err := run(l); err != nil && !errors.Is(err, http.ErrServerClosed) {
			failed <- err
		}
	}()
	return nil
}

// metricsPath is where the metrics address serves them, as text.
const metricsPath = "/metrics"

func (h *Host) serveMetrics(failed chan<- error) (*http.Server, error) {
	mux := http.NewServeMux()
	mux.HandleFunc("GET "+metricsPath, func(w http.ResponseWriter, _ *http.Request) {
		h.Metrics.WritePrometheus(w)
		metrics.WriteProcessMetrics(w)
	})
	server := &http.Server{Handler: mux, ReadHeaderTimeout: headerTimeout}
	if h.MetricsAddress == "" {
		return server, nil
	}
	return server, serve(h.MetricsAddress, server.Serve, failed)
}

// drain lets another host lead, tells the balancer, serves on until it has
// noticed, and finishes what was read.
func (h *Host) drain(front *http.Server, resign func()) {
	h.Log.Info("stopping", "grace", h.Grace)
	h.mu.Lock()
	h.stopping = true
	h.mu.Unlock()
	resign()
	limit, cancel := context.WithTimeout(context.Background(), h.Grace-drainMargin)
	defer cancel()
	pause.For(limit, drainNotice)
	front.SetKeepAlivesEnabled(false)
	if err := front.Shutdown(limit); err != nil {
		h.Log.Warn("requests cut off at the end of the grace time", "err", err)
	}
}

func (h *Host) serveReady(w http.ResponseWriter, _ *http.Request) {
	if !h.ready() {
		w.WriteHeader(http.StatusServiceUnavailable)
	}
}

func (h *Host) ready() bool {
	if h.Conditions.Configuration() == nil || !h.Replica.Loaded() {
		return false
	}
	if h.lostFor() >= unreadyAfter {
		return false
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	return !h.stopping
}

// lostFor returns how long the store has been away; 0: it is not.
func (h *Host) lostFor() time.Duration {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.lostAt.IsZero() {
		return 0
	}
	return steady.Now().Sub(h.lostAt)
}

func (h *Host) followReplica(ctx context.Context) {
	f := kvstore.Follower{
		Store:  h.Store,
		Prefix: ledger.ReplicaPrefix,
		Wait:   replicaWait,
		Pause:  h.pause,
		Reset:  h.Replica.Reset,
		Apply:  h.Replica.Apply,
		Lost: func(err error) {
			h.setLost(steady.Now())
			h.Log.Warn("store lost", "prefix", ledger.ReplicaPrefix, "err", err)
		},
		Regained: func() {
			h.setLost(0)
			h.Log.Info("store regained", "prefix", ledger.ReplicaPrefix)
		},
	}
	f.Run(ctx)
}

// pause lies between two watches: the leader learns of a job at once.
func (h *Host) pause() time.Duration {
	if h.Replica.Leader().HostName() == h.Name {
		return 0
	}
	return replicaPause
}

func (h *Host) setLost(at steady.Time) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.lostAt = at
}

func (h *Host) candidate() *dispatch.Candidate {
	return &dispatch.Candidate{
		Store:        h.Store,
		Replica:      h.Replica,
		Host:         h.Name,
		Log:          h.Log,
		AcquireDelay: h.handicap,
		Lead:         func(ctx context.Context, t *dispatch.Term) { dispatch.Lead(ctx, h.Dispatch(), t) },
	}
}

// handicapMost is how much later than the strongest the weakest host seeks the
// term: less than what its slower takeover would cost.
const handicapMost = 700 * time.Millisecond

// handicap returns how much later than the strongest host this one seeks the
// term. Before others are listed, a host with a whole core is expected.
func (h *Host) handicap() time.Duration {
	strongest := 0.0
	hosts := h.Replica.Hosts()
	for _, listed := range hosts {
		strongest = max(strongest, listed.Cores)
	}
	if len(hosts) < 2 {
		strongest = 1
	}
	if h.Cores <= 0 || strongest <= h.Cores {
		return 0
	}
	return time.Duration((1 - h.Cores/strongest) * float64(handicapMost))
}

// keepListed keeps this host's address in the store, so that peers that can't
// reach the store find a host that may.
func (h *Host) keepListed(ctx context.Context) {
	var lease uint64
	for ctx.Err() == nil {
		wait := listingRenew
		if err := h.list(ctx, &lease); err != nil {
			h.Log.Debug("host not listed", "err", err)
			wait = listingRetry
		}
		pause.For(ctx, wait)
	}
}

func (h *Host) list(ctx context.Context, lease *uint64) error {
	ctx, cancel := context.WithTimeout(ctx, listingCall)
	defer cancel()
	if *lease != 0 {
		err := h.Store.Renew(ctx, *lease)
		if !errors.Is(err, kvstore.ErrLeaseLost) {
			return err
		}
		*lease = 0
	}
	value, err := json.Marshal(ledger.Host{Address: h.PeerAddress, Cores: h.Cores})
	if err != nil {
		return err
	}
	grant, err := h.Store.Grant(ctx, listingTTL)
	if err != nil {
		return err
	}
	_, err = h.Store.Commit(ctx, kvstore.Txn{
		Puts: []kvstore.Put{{Key: ledger.HostKey(h.Name), Value: value, Lease: grant.ID}},
	})
	if err == nil {
		*lease = grant.ID
	}
	return err
}

// PeerAddresses returns where the other listed hosts take calls.
func PeerAddresses(replica *ledger.Replica, self string) func() []string {
	return func() []string {
		var out []string
		for name, listed := range replica.Hosts() {
			if name != self {
				out = append(out, listed.Address)
			}
		}
		return out
	}
}

// Anchored returns a time of day that follows the steady clock from a start, so
// that steps of the system's clock don't show.
func Anchored() func() time.Time {
	start, at := time.Now().Round(0), steady.Now()
	return func() time.Time { return start.Add(steady.Now().Sub(at)) }
}
