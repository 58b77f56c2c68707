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

// slices are the parts of one entry host, in the order in which they are built.
type slices struct {
	guard      *kvstore.Guard   // this host's own calls to the platform
	platform   *kvstore.Carrier // the same, or through peers while it is cut off
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

func newSlices(h *Host) (*slices, error) {
	s := &slices{}
	peerOptions := peer.Options{
		Host:    h.opts.Settings.Host.Name,
		TLS:     h.peerTLS(),
		Timeout: h.opts.Settings.Timing.PeerTimeout(),
		Logger:  h.opts.Logger.WithPrefix("peer"),
		Metrics: h.opts.Metrics,
	}
	s.peers = peer.NewPool(peerOptions)
	s.peerServer = peer.NewServer(peerOptions)
	s.buildPlatform(h)
	s.buildMembership(h)
	s.buildConfig(h)
	s.buildElection(h)
	s.buildAuth(h)
	s.buildClaims(h)
	s.buildRouter(h)
	s.buildJobs(h)
	return s, s.registerPeers()
}

func (s *slices) buildPlatform(h *Host) {
	s.guard = kvstore.New(kvstore.Options{
		Base:    h.opts.Settings.Platform.URLs[0],
		Others:  h.opts.Settings.Platform.URLs[1:],
		Now:     h.opts.Now,
		Logger:  h.opts.Logger.WithPrefix("platform"),
		Metrics: h.opts.Metrics,
	})
	s.platform = kvstore.NewCarrier(s.guard, s.peers, func() []string { return s.membership.PlatformProxies() })
}

func (s *slices) buildMembership(h *Host) {
	s.membership = membership.New(membership.Options{
		Self:        h.Self(),
		Incarnation: newIncarnation(h.opts.Now()),
		Lister:      s.platform,
		Peers:       s.peers,
		Seeds:       h.opts.Settings.Seeds,
		Status:      func() membership.Status { return s.status() },
		Now:         h.opts.Now,
		Logger:      h.opts.Logger.WithPrefix("membership"),
		Metrics:     h.opts.Metrics,
	})
}

// status is what heartbeats tell other hosts about this one.
func (s *slices) status() membership.Status {
	snap, _ := s.config.Current()
	status := membership.Status{
		Revision:     snap.Revision,
		RevisionAge:  s.config.Age(),
		PlatformDown: s.guard.Down(),
	}
	if term, _, held := s.election.Term(); held {
		status.Term = term
	}
	return status
}

func (s *slices) buildConfig(h *Host) {
	s.config = config.NewDistributor(config.Options{
		Store:   s.platform,
		Peers:   s.peers,
		Members: s.membership,
		Seeds:   h.opts.Settings.Seeds,
		Direct:  func() bool { return s.schedules() },
		Now:     h.opts.Now,
		Logger:  h.opts.Logger.WithPrefix("config"),
		Metrics: h.opts.Metrics,
	})
	s.editor = config.NewEditor(config.EditorOptions{
		Store:       s.platform,
		Distributor: s.config,
		Now:         h.opts.Now,
		Logger:      h.opts.Logger.WithPrefix("config"),
		Metrics:     h.opts.Metrics,
	})
}

// schedules reports whether this host is its failure domain's scheduler.
func (s *slices) schedules() bool {
	_, _, held := s.election.Term()
	return held
}

func (s *slices) buildElection(h *Host) {
	s.election = election.New(election.Options{
		Store:         s.platform,
		Host:          h.opts.Settings.Host.Name,
		FailureDomain: h.opts.Settings.Host.FailureDomain,
		TTL:           h.opts.Settings.Timing.SchedulerLease(),
		Now:           h.opts.Now,
		Logger:        h.opts.Logger.WithPrefix("election"),
		Metrics:       h.opts.Metrics,
	})
}

func (s *slices) buildAuth(h *Host) {
	s.auth = auth.New(auth.Options{
		OperatorHashes: h.opts.Settings.Operators,
		Credentials:    config.Credentials(s.config),
		Public:         []string{pathHealth, pathReady, pathMetrics},
		Logger:         h.opts.Logger.WithPrefix("auth"),
		Metrics:        h.opts.Metrics,
	})
}

func (s *slices) buildClaims(h *Host) {
	s.claims = claims.New(claims.Options{
		Now:        h.opts.Now,
		Logger:     h.opts.Logger.WithPrefix("claims"),
		Metrics:    h.opts.Metrics,
		Store:      s.platform,
		Peers:      s.peers,
		Membership: s.membership,
	})
}

func (s *slices) buildRouter(h *Host) {
	s.router = routing.New(routing.Options{
		Now:        h.opts.Now,
		Logger:     h.opts.Logger.WithPrefix("routing"),
		Metrics:    h.opts.Metrics,
		Membership: s.membership,
		Config:     s.config,
		Claims:     s.claims,
		DrainDelay: h.opts.Settings.Timing.DrainWait(),
	})
}

func (s *slices) buildJobs(h *Host) {
	s.ledgers = ledger.New(ledger.Options{
		Store:   s.platform,
		Gap:     h.opts.Settings.Timing.LedgerBatch(),
		Now:     h.opts.Now,
		Logger:  h.opts.Logger.WithPrefix("ledger"),
		Metrics: h.opts.Metrics,
	})
	failureDomain := h.opts.Settings.Host.FailureDomain
	s.scheduler = gang.New(gang.Options{
		FailureDomain: failureDomain,
		Ledger:        s.ledgers.Jobs(failureDomain),
		Config:        s.config,
		Membership:    s.membership,
		Election:      s.election,
		Peers:         s.peers,
		Notes:         s.ledgers.Notes(),
		Now:           h.opts.Now,
		Logger:        h.opts.Logger.WithPrefix("gang"),
		Metrics:       h.opts.Metrics,
	})
	s.intake = intake.New(intake.Options{
		FailureDomain: failureDomain,
		Ledgers:       s.ledgers,
		Config:        s.config,
		Membership:    s.membership,
		Election:      s.election,
		Hold:          s.scheduler.Hold,
		Takes:         s.scheduler.Takes,
		Serving:       s.serving,
		Peers:         s.peers,
		Now:           h.opts.Now,
		Logger:        h.opts.Logger.WithPrefix("intake"),
		Metrics:       h.opts.Metrics,
	})
}

// serving reports whether some entry host is known to schedule a failure domain.
func (s *slices) serving(failureDomain string) bool {
	_, ok := s.schedulerOf(failureDomain)
	return ok
}

// schedulerOf returns the entry host that is known to hold a failure domain's term.
func (s *slices) schedulerOf(failureDomain string) (kvstore.Host, bool) {
	view := s.membership.View()
	if view.Self.FailureDomain == failureDomain && s.schedules() {
		return view.Self, true
	}
	statuses := s.membership.Statuses()
	for _, p := range view.Peers() {
		if p.FailureDomain == failureDomain && statuses[p.Name].Term != 0 {
			return p, true
		}
	}
	return kvstore.Host{}, false
}

func (s *slices) registerPeers() error {
	for _, register := range []func(*peer.Server) error{
		s.guard.RegisterPeer,
		s.membership.RegisterPeer,
		s.config.RegisterPeer,
		s.claims.RegisterPeer,
		s.scheduler.RegisterPeer,
		s.intake.RegisterPeer,
	} {
		if err := register(s.peerServer); err != nil {
			return err
		}
	}
	return nil
}

// run starts the background work of every slice in group.
func (s *slices) run(ctx context.Context, group *errgroup.Group) {
	for _, run := range []func(context.Context) error{
		s.membership.Run,
		s.config.Run,
		s.election.Run,
		s.claims.Run,
		s.router.Run,
		s.scheduler.Run,
		s.intake.Run,
	} {
		group.Go(func() error { return run(ctx) })
	}
	group.Go(func() error { return s.ledgers.Run(ctx, s.membership.View().Self.FailureDomain) })
}
