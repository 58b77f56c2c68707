// Package host assembles and runs the batch scheduler on one host: the callers'
// API, the readiness and metrics endpoints, the calls from other hosts, the
// ledger replica and the candidacy for leadership. It holds whether the store can
// be reached and whether the host is stopping; all else is in the parts it is
// given. Command cyclamentray-batchd calls it.
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
	"github.com/cyclamentray/cyclamentray/batch/mechanism"
	"github.com/cyclamentray/cyclamentray/internal/bytebudget"
	"github.com/cyclamentray/cyclamentray/internal/connlimit"
	"github.com/cyclamentray/cyclamentray/internal/pause"
	"github.com/cyclamentray/cyclamentray/internal/steady"
	"github.com/cyclamentray/cyclamentray/kvstore"
	"github.com/cyclamentray/cyclamentray/peer"
)

const (
	// registrationTTL is how long a failed host stays registered as a peer.
	registrationTTL           = 8 * time.Second
	registrationRenewInterval = registrationTTL / 4    // up to three renewals may be lost
	registrationRetryInterval = 500 * time.Millisecond // short, because hosts can only call peers that are registered
	registrationTimeout       = time.Second            // three calls to a slow store

	// replicaWatchWait is the longest wait of one watch. It is short, so that a
	// connection on which the store no longer answers is replaced soon, and callers
	// are sent elsewhere.
	replicaWatchWait = 500 * time.Millisecond

	// replicaWatchPause lets changes accumulate into batches on hosts that do not
	// lead. Counts may be 2 s old, and job states are requested from the leader.
	replicaWatchPause = 250 * time.Millisecond

	// balancerNoticePeriod is how long a stopping host still accepts requests: the
	// load balancer removes it after two readiness probes 1 s apart.
	balancerNoticePeriod = 2300 * time.Millisecond

	// connectionLinger is how long a stopping host still waits for a request on a connection
	// that it has just accepted or answered: a request may be under way.
	connectionLinger = 500 * time.Millisecond

	// shutdownMargin is the part of the grace period left for the process to exit
	// before it is killed.
	shutdownMargin = 700 * time.Millisecond

	readHeaderTimeout = 5 * time.Second  // longer than callers wait for a response
	idleTimeout       = 30 * time.Second // longer than callers pause between requests
)

// Conditions provides the operators' documents and the runners' entries.
type Conditions interface {
	dispatch.Conditions
	// FollowDocuments follows the operators' documents until ctx ends.
	FollowDocuments(ctx context.Context)
}

// Options configures a Host.
type Options struct {
	Name             string
	PeerAddress      string
	APIAddress       string
	ReadinessAddress string
	GracePeriod      time.Duration // from SIGTERM to SIGKILL
	Cores            float64       // processor cores that this host may use; the host with the most is preferred as leader

	Store         *kvstore.Fallback
	DirectStore   kvstore.Keyspace // the store without fallback to peers; used for calls on behalf of peers
	Peers         peer.Caller      // calls other hosts
	Adviser       dispatch.Adviser // nil: no advice service
	Conditions    Conditions
	Replica       *ledger.Replica
	Dispatch      func() dispatch.Options // called at the start of each term
	NewAPIHandler func(*intake.Intake, *bytebudget.Budget) http.Handler
	Limits        Limits // zero: those for a process of unknown size
	Metrics       *metrics.Set

	Off            mechanism.Set // mechanisms that an experiment switches off
	MetricsAddress string        // empty: metrics are not served
	Log            *log.Logger
}

// Host runs the batch scheduler in one host's process.
type Host struct {
	Options
	health   storeHealth
	mu       sync.Mutex
	stopping bool
}

// New returns a Host with the given options. Run starts it.
func New(o Options) *Host {
	if o.Limits == (Limits{}) {
		o.Limits = LimitsFor(0, 0)
	}
	return &Host{Options: o}
}

// Run serves requests until ctx ends or a listener fails, then drains.
func (h *Host) Run(ctx context.Context) error {
	serveCtx, stop := context.WithCancel(context.WithoutCancel(ctx))
	defer stop()
	jobs := intake.New(intake.Options{
		Store: h.Store, Replica: h.Replica, Configuration: h.Conditions.Configuration, Now: time.Now, Log: h.Log,
		Metrics: h.Metrics, StoreUnreachable: h.storeKnownLost, Leader: h.leaderClient(),
	})
	apiServer := newServer(h.NewAPIHandler(jobs, newBudget(h.Limits.BodyBytes, h.refusals("body"))))
	readinessServer := newServer(http.HandlerFunc(h.serveReady))
	peerServer := peer.NewServer(peer.Options{Host: h.Name, Logger: h.Log, Messages: newBudget(h.Limits.MessageBytes, h.refusals("peer message"))})
	if err := h.registerPeerCalls(peerServer); err != nil {
		return err
	}
	failed := make(chan error, 3)
	callers, err := h.listenAndServe("caller", h.APIAddress, h.Limits.APIConns, apiServer.Serve, failed)
	if err != nil {
		return err
	}
	if _, err := h.listenAndServe("probe", h.ReadinessAddress, maxProbeConns, readinessServer.Serve, failed); err != nil {
		return err
	}
	if _, err := h.listenAndServe("peer", h.PeerAddress, h.Limits.PeerConns, peerServer.Serve, failed); err != nil {
		return err
	}
	metricsServer, err := h.serveMetrics(failed)
	if err != nil {
		return err
	}
	defer metricsServer.Close()
	h.Log.Info("started")
	var background sync.WaitGroup
	background.Go(func() { h.Conditions.FollowDocuments(serveCtx) })
	background.Go(func() { h.followReplica(serveCtx) })
	background.Go(func() { h.maintainRegistration(serveCtx) })
	electionCtx, resign := context.WithCancel(serveCtx)
	defer resign()
	background.Go(func() { h.candidate().Run(electionCtx) })
	select {
	case <-ctx.Done():
	case err = <-failed:
	}
	h.drain(callers, resign)
	stop()
	err = errors.CombineErrors(err, errors.CombineErrors(apiServer.Close(), errors.CombineErrors(readinessServer.Close(), peerServer.Close())))
	background.Wait()
	h.Log.Info("stopped")
	return err
}

// leaderClient returns the client for questions to the leader; nil: none is asked.
func (h *Host) leaderClient() *intake.LeaderClient {
	if !h.Off.On(mechanism.LeaderAnswers) {
		return nil
	}
	return &intake.LeaderClient{Replica: h.Replica, Peers: h.Peers, Host: h.Name, Log: h.Log}
}

// registerPeerCalls registers the services that other hosts may call.
func (h *Host) registerPeerCalls(s *peer.Server) error {
	err := errors.CombineErrors(s.Register("Keyspace", &kvstore.KeyspaceService{Store: h.DirectStore}),
		s.Register("Jobs", &intake.StateService{Replica: h.Replica}))
	if h.Adviser != nil {
		err = errors.CombineErrors(err, s.Register("Advice", &dispatch.AdviceService{Adviser: h.Adviser}))
	}
	return err
}

// listenAndServe listens on address, with a limit of connections of clients of the given
// kind, and serves in the background. A later failure is sent to failed.
func (h *Host) listenAndServe(client, address string, maxConns int, run func(net.Listener) error, failed chan<- error) (*connlimit.Listener, error) {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return nil, errors.Wrapf(err, "listening on %s", address)
	}
	limited := connlimit.Limit(listener, maxConns, minConnWait, h.refusals(client+" connection").record)
	go func() {
		if err := run(limited); err != nil && !errors.Is(err, http.ErrServerClosed) && !errors.Is(err, net.ErrClosed) {
			failed <- err
		}
	}()
	return limited, nil
}

// refusals returns the record of what is refused for the limit of the given name.
func (h *Host) refusals(what string) *refusals { return newRefusals(what, h.Metrics, h.Log) }

// metricsPath is the path of the metrics, in the Prometheus text format.
const metricsPath = "/metrics"

// serveMetrics serves the metrics if there is an address for them. The caller closes
// the returned server in either case.
func (h *Host) serveMetrics(failed chan<- error) (*http.Server, error) {
	mux := http.NewServeMux()
	mux.HandleFunc("GET "+metricsPath, func(w http.ResponseWriter, _ *http.Request) {
		h.Metrics.WritePrometheus(w)
		metrics.WriteProcessMetrics(w)
	})
	server := newServer(mux)
	if h.MetricsAddress == "" {
		return server, nil
	}
	_, err := h.listenAndServe("metrics", h.MetricsAddress, maxMetricsConns, server.Serve, failed)
	return server, err
}

// drain resigns the candidacy, reports the host as not ready, serves on until
// the load balancer has noticed, and answers the requests in progress.
func (h *Host) drain(callers *connlimit.Listener, resign func()) {
	h.Log.Info("stopping", "grace", h.GracePeriod)
	h.mu.Lock()
	h.stopping = true
	h.mu.Unlock()
	resign()
	drainCtx, cancel := context.WithTimeout(context.Background(), h.GracePeriod-shutdownMargin)
	defer cancel()
	pause.For(drainCtx, balancerNoticePeriod)
	if err := callers.Drain(drainCtx, connectionLinger); err != nil {
		h.Log.Warn("requests aborted at the end of the grace period", "err", err)
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
	if h.Off.On(mechanism.Unreadiness) && h.health.knownLost(steady.Now()) {
		return false
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	return !h.stopping
}

// storeKnownLost reports whether requests are refused without a call to the store.
func (h *Host) storeKnownLost() bool {
	return h.Off.On(mechanism.EarlyRefusal) && h.health.knownLost(steady.Now())
}

func (h *Host) followReplica(ctx context.Context) {
	f := kvstore.Follower{
		Store:        h.Store,
		Prefix:       ledger.ReplicaPrefix,
		Wait:         replicaWatchWait,
		Pause:        h.watchPause,
		MaxRetryWait: func() time.Duration { return kvstore.RetryInterval(len(h.Replica.Hosts())) },
		Reset:        h.Replica.Reset,
		Apply:        h.Replica.Apply,
		ReadUpTo:     h.Replica.NoteReadUpTo,
		Lost: func(err error) {
			h.health.recordLoss(steady.Now())
			h.Log.Warn("store lost", "prefix", ledger.ReplicaPrefix, "err", err)
		},
		Regained: func() {
			h.health.recordAnswer()
			h.Log.Info("store regained", "prefix", ledger.ReplicaPrefix)
		},
	}
	f.Run(ctx)
}

// watchPause returns the pause between two watches of the replica. It is 0 on
// the leader, so that it receives new jobs at once.
func (h *Host) watchPause() time.Duration {
	if h.Replica.Leader().HostName() == h.Name || !h.Off.On(mechanism.BatchedReplicas) {
		return 0
	}
	return replicaWatchPause
}

func (h *Host) candidate() *dispatch.Candidate {
	return &dispatch.Candidate{
		Store:        h.Store,
		Replica:      h.Replica,
		Host:         h.Name,
		Log:          h.Log,
		AcquireDelay: h.acquireDelay,
		Lead:         func(ctx context.Context, t *dispatch.Term) { dispatch.Lead(ctx, h.Dispatch(), t) },
	}
}

// maxAcquireDelay is the acquire delay of the weakest host relative to the
// strongest: shorter than the extra time that a takeover by it would need.
const maxAcquireDelay = 700 * time.Millisecond

// acquireDelay returns how much later than the strongest host this one tries to
// acquire the term. Until other hosts are registered, the strongest is assumed
// to have one whole core.
func (h *Host) acquireDelay() time.Duration {
	strongest := 0.0
	hosts := h.Replica.Hosts()
	for _, registered := range hosts {
		strongest = max(strongest, registered.Cores)
	}
	if len(hosts) < 2 {
		strongest = 1
	}
	if h.Cores <= 0 || strongest <= h.Cores || !h.Off.On(mechanism.WeakHostsYield) {
		return 0
	}
	return time.Duration((1 - h.Cores/strongest) * float64(maxAcquireDelay))
}

// maintainRegistration keeps this host's address in the store until ctx ends, so
// that hosts that can't reach the store find a peer that can.
func (h *Host) maintainRegistration(ctx context.Context) {
	var lease uint64
	for ctx.Err() == nil {
		wait := registrationRenewInterval
		if err := h.register(ctx, &lease); err != nil {
			h.Log.Debug("peer registration failed", "err", err)
			wait = registrationRetryInterval
		}
		pause.For(ctx, wait)
	}
}

// register renews this host's registration, or creates it if there is no lease.
func (h *Host) register(ctx context.Context, lease *uint64) error {
	ctx, cancel := context.WithTimeout(ctx, registrationTimeout)
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
	grant, err := h.Store.Grant(ctx, registrationTTL)
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

// PeerAddresses returns a function that lists the addresses of the registered
// hosts other than self.
func PeerAddresses(replica *ledger.Replica, self string) func() []string {
	return func() []string {
		var out []string
		for name, registered := range replica.Hosts() {
			if name != self {
				out = append(out, registered.Address)
			}
		}
		return out
	}
}

// NewMonotonicClock returns a function for the time of day that starts at the
// system clock and advances with the steady clock, so that later steps of the
// system clock have no effect.
func NewMonotonicClock() func() time.Time {
	start, at := time.Now().Round(0), steady.Now()
	return func() time.Time { return start.Add(steady.Now().Sub(at)) }
}
