package entryhost

import (
	"context"

	"golang.org/x/sync/errgroup"

	"github.com/cyclamentray/cyclamentray/auth"
	"github.com/cyclamentray/cyclamentray/claims"
	"github.com/cyclamentray/cyclamentray/config"
	"github.com/cyclamentray/cyclamentray/election"
	"github.com/cyclamentray/cyclamentray/gang"
	"github.com/cyclamentray/cyclamentray/intake"
	"github.com/cyclamentray/cyclamentray/intake/ledger"
	"github.com/cyclamentray/cyclamentray/kvstore"
	"github.com/cyclamentray/cyclamentray/membership"
	"github.com/cyclamentray/cyclamentray/peer"
	"github.com/cyclamentray/cyclamentray/routing"
)

// components holds the parts of one entry host.
type components struct {
	guard      *kvstore.Guard         // platform calls that this host makes directly
	platform   *kvstore.FallbackStore // platform calls, made through peers while the platform cannot be reached directly
	peers      *peer.Pool
	peerServer *peer.Server
	membership *membership.Membership
	config     *config.Distributor
	editor     *config.Editor
	election   *election.Election
	auth       *auth.Authenticator
	claims     *claims.Service
	router     *routing.Router
	ledgers    *ledger.Ledgers
	scheduler  *gang.Scheduler
	intake     *intake.Intake
}

// newComponents builds the components of h. Some are passed functions that use
// components which are built after them.
func newComponents(h *Host) (*components, error) {
	c := &components{}
	peerOptions := peer.Options{
		Host:    h.opts.Settings.Host.Name,
		TLS:     h.peerTLS(),
		Timeout: h.opts.Settings.Timing.PeerTimeout(),
		Logger:  h.opts.Logger.WithPrefix("peer"),
		Metrics: h.opts.Metrics,
	}
	c.peers = peer.NewPool(peerOptions)
	c.peerServer = peer.NewServer(peerOptions)
	c.buildPlatform(h)
	c.buildMembership(h)
	c.buildConfig(h)
	c.buildElection(h)
	c.buildAuth(h)
	c.buildClaims(h)
	c.buildRouter(h)
	c.buildJobs(h)
	return c, c.registerRPCServices()
}

func (c *components) buildPlatform(h *Host) {
	c.guard = kvstore.New(kvstore.Options{
		Base:    h.opts.Settings.Platform.URLs[0],
		Others:  h.opts.Settings.Platform.URLs[1:],
		Now:     h.opts.Now,
		Logger:  h.opts.Logger.WithPrefix("platform"),
		Metrics: h.opts.Metrics,
	})
	c.platform = kvstore.NewFallbackStore(c.guard, c.peers, func() []string { return c.membership.PlatformProxies() })
}

func (c *components) buildMembership(h *Host) {
	c.membership = membership.New(membership.Options{
		Self:        h.Self(),
		Incarnation: newIncarnation(h.opts.Now()),
		Lister:      c.platform,
		Peers:       c.peers,
		Seeds:       h.opts.Settings.Seeds,
		Status:      func() membership.Status { return c.heartbeatStatus() },
		Now:         h.opts.Now,
		Logger:      h.opts.Logger.WithPrefix("membership"),
		Metrics:     h.opts.Metrics,
	})
}

// heartbeatStatus returns the status that this host reports in its heartbeats.
func (c *components) heartbeatStatus() membership.Status {
	snap, _ := c.config.Current()
	status := membership.Status{
		Revision:     snap.Revision,
		RevisionAge:  c.config.Age(),
		PlatformDown: c.guard.Down(),
	}
	if term, _, held := c.election.Term(); held {
		status.Term = term
	}
	return status
}

func (c *components) buildConfig(h *Host) {
	c.config = config.NewDistributor(config.Options{
		Store:   c.platform,
		Peers:   c.peers,
		Members: c.membership,
		Seeds:   h.opts.Settings.Seeds,
		Direct:  func() bool { return c.isScheduler() },
		Now:     h.opts.Now,
		Logger:  h.opts.Logger.WithPrefix("config"),
		Metrics: h.opts.Metrics,
	})
	c.editor = config.NewEditor(config.EditorOptions{
		Store:       c.platform,
		Distributor: c.config,
		Now:         h.opts.Now,
		Logger:      h.opts.Logger.WithPrefix("config"),
		Metrics:     h.opts.Metrics,
	})
}

// isScheduler reports whether this host is its failure domain's scheduler.
func (c *components) isScheduler() bool {
	_, _, held := c.election.Term()
	return held
}

func (c *components) buildElection(h *Host) {
	c.election = election.New(election.Options{
		Store:         c.platform,
		Host:          h.opts.Settings.Host.Name,
		FailureDomain: h.opts.Settings.Host.FailureDomain,
		TTL:           h.opts.Settings.Timing.SchedulerLease(),
		Now:           h.opts.Now,
		Logger:        h.opts.Logger.WithPrefix("election"),
		Metrics:       h.opts.Metrics,
	})
}

func (c *components) buildAuth(h *Host) {
	c.auth = auth.New(auth.Options{
		OperatorHashes: h.opts.Settings.Operators,
		Credentials:    config.Credentials(c.config),
		Public:         []string{pathHealth, pathReady, pathMetrics},
		Logger:         h.opts.Logger.WithPrefix("auth"),
		Metrics:        h.opts.Metrics,
	})
}

func (c *components) buildClaims(h *Host) {
	c.claims = claims.New(claims.Options{
		Now:        h.opts.Now,
		Logger:     h.opts.Logger.WithPrefix("claims"),
		Metrics:    h.opts.Metrics,
		Store:      c.platform,
		Peers:      c.peers,
		Membership: c.membership,
	})
}

func (c *components) buildRouter(h *Host) {
	c.router = routing.New(routing.Options{
		Now:        h.opts.Now,
		Logger:     h.opts.Logger.WithPrefix("routing"),
		Metrics:    h.opts.Metrics,
		Membership: c.membership,
		Config:     c.config,
		Claims:     c.claims,
		DrainDelay: h.opts.Settings.Timing.DrainWait(),
	})
}

func (c *components) buildJobs(h *Host) {
	c.ledgers = ledger.New(ledger.Options{
		Store:         c.platform,
		WriteInterval: h.opts.Settings.Timing.LedgerBatch(),
		Now:           h.opts.Now,
		Logger:        h.opts.Logger.WithPrefix("ledger"),
		Metrics:       h.opts.Metrics,
	})
	failureDomain := h.opts.Settings.Host.FailureDomain
	c.scheduler = gang.New(gang.Options{
		FailureDomain: failureDomain,
		Ledger:        c.ledgers.Jobs(failureDomain),
		Config:        c.config,
		Membership:    c.membership,
		Election:      c.election,
		Peers:         c.peers,
		Notes:         c.ledgers.Notes(),
		Now:           h.opts.Now,
		Logger:        h.opts.Logger.WithPrefix("gang"),
		Metrics:       h.opts.Metrics,
	})
	c.intake = intake.New(intake.Options{
		FailureDomain:   failureDomain,
		Ledgers:         c.ledgers,
		Config:          c.config,
		Membership:      c.membership,
		Election:        c.election,
		WaitReason:      c.scheduler.WaitReason,
		SelectStartable: c.scheduler.StartableJobs,
		HasScheduler:    c.hasScheduler,
		Peers:           c.peers,
		Now:             h.opts.Now,
		Logger:          h.opts.Logger.WithPrefix("intake"),
		Metrics:         h.opts.Metrics,
	})
}

// hasScheduler reports whether an entry host is known to schedule the failure domain.
func (c *components) hasScheduler(failureDomain string) bool {
	_, ok := c.schedulerOf(failureDomain)
	return ok
}

// schedulerOf returns the entry host that is known to hold the failure domain's term.
func (c *components) schedulerOf(failureDomain string) (kvstore.Host, bool) {
	view := c.membership.View()
	if view.Self.FailureDomain == failureDomain && c.isScheduler() {
		return view.Self, true
	}
	statuses := c.membership.Statuses()
	for _, p := range view.Peers() {
		if p.FailureDomain == failureDomain && statuses[p.Name].Term != 0 {
			return p, true
		}
	}
	return kvstore.Host{}, false
}

// registerRPCServices registers the net/rpc services of the components.
func (c *components) registerRPCServices() error {
	for _, register := range []func(*peer.Server) error{
		c.guard.RegisterPeer,
		c.membership.RegisterPeer,
		c.config.RegisterPeer,
		c.claims.RegisterPeer,
		c.scheduler.RegisterPeer,
		c.intake.RegisterPeer,
	} {
		if err := register(c.peerServer); err != nil {
			return err
		}
	}
	return nil
}

// run starts the background work of the components in group.
func (c *components) run(ctx context.Context, group *errgroup.Group) {
	for _, run := range []func(context.Context) error{
		c.membership.Run,
		c.config.Run,
		c.election.Run,
		c.claims.Run,
		c.router.Run,
		c.scheduler.Run,
		c.intake.Run,
	} {
		group.Go(func() error { return run(ctx) })
	}
	group.Go(func() error { return c.ledgers.Run(ctx, c.membership.View().Self.FailureDomain) })
}
