// Command cyclamentray-batchd is one host of the batch scheduler on the users'
// platform. It exits with 0 after a drain, 1 on a failure and 2 when its
// settings are wrong.
package main

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/signal"
	"runtime/debug"
	"strconv"
	"syscall"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/charmbracelet/log"
	"github.com/jessevdk/go-flags"

	"github.com/cyclamentray/cyclamentray/batch/conditions"
	"github.com/cyclamentray/cyclamentray/batch/dispatch"
	"github.com/cyclamentray/cyclamentray/batch/host"
	"github.com/cyclamentray/cyclamentray/batch/intake"
	"github.com/cyclamentray/cyclamentray/batch/ledger"
	"github.com/cyclamentray/cyclamentray/kvstore"
	"github.com/cyclamentray/cyclamentray/peer"
	"github.com/cyclamentray/cyclamentray/platform"
	"github.com/cyclamentray/cyclamentray/telemetry"
)

const (
	exitFailed = 1
	exitUsage  = 2

	// memoryShare of the host's limit is the collector's target; the rest holds
	// what the runtime doesn't count.
	memoryShare = 0.6

	// collectPercent trades a little processor time for a small heap.
	collectPercent = 60

	megabyte   = 1 << 20
	flushLimit = 300 * time.Millisecond // for the last log lines
)

type options struct {
	Settings    string `long:"settings" description:"settings file; without it the platform's environment variable names it"`
	MetricsPort int    `long:"metrics-port" description:"port of the host's address that serves metrics at /metrics; 0: none"`
	LogLevel    string `long:"log-level" default:"info" choice:"debug" choice:"info" choice:"warn" choice:"error" description:"least level of log lines"`
}

func main() { os.Exit(run()) }

func run() int {
	var o options
	if _, err := flags.Parse(&o); err != nil {
		if flags.WroteHelp(err) {
			return 0
		}
		return exitUsage
	}
	if o.Settings == "" {
		o.Settings = os.Getenv(platform.SettingsEnvVar)
	}
	s, err := platform.LoadSettings(o.Settings)
	if err != nil {
		fmt.Fprintln(os.Stderr, "cyclamentray-batchd:", err)
		return exitUsage
	}
	debug.SetGCPercent(collectPercent)
	debug.SetMemoryLimit(int64(float64(s.MemoryMB) * memoryShare * megabyte))
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	out := telemetry.NewAsyncWriter(os.Stdout)
	defer func() {
		limit, cancel := context.WithTimeout(context.Background(), flushLimit)
		defer cancel()
		out.Close(limit.Done())
	}()
	logger := telemetry.NewStructuredLogger(out, o.LogLevel).With("host", s.Host)
	watched := platform.NewSettingsWatcher(o.Settings, s, logger)
	reload := make(chan os.Signal, 1)
	signal.Notify(reload, syscall.SIGHUP)
	go watched.Run(ctx, reload)
	h := newHost(watched, logger, out)
	if o.MetricsPort > 0 {
		h.MetricsAddress = net.JoinHostPort(s.Address, strconv.Itoa(o.MetricsPort))
	}
	if err := h.Run(ctx); err != nil {
		fmt.Fprintln(os.Stderr, "cyclamentray-batchd:", err)
		return exitFailed
	}
	return 0
}

func newHost(watched *platform.SettingsWatcher, logger *log.Logger, out *telemetry.AsyncWriter) *host.Host {
	set := metrics.NewSet()
	set.NewGauge("cyclamentray_log_lines_dropped", func() float64 { return float64(out.Dropped()) })
	s := watched.Current()
	replica := ledger.NewReplica(logger)
	direct := platform.NewStoreClient(s.StoreAddress)
	peers := peer.NewPool(peer.Options{Host: s.Host})
	others := host.PeerAddresses(replica, s.Host)
	store := &kvstore.Fallback{
		Direct:    direct,
		Peers:     peers,
		Addresses: others,
		ProbeKey:  ledger.LeaderKey,
		Metrics:   set,
	}
	followed := conditions.New(store, platform.EntryFormat, s.HeartbeatInterval, logger)
	runners := platform.NewRunnerClient()
	var adviser dispatch.Adviser
	if s.AdviceAddress != "" {
		adviser = platform.NewAdviceClient(s.AdviceAddress)
	}
	now := host.NewMonotonicClock()
	return host.New(host.Options{
		Name:             s.Host,
		PeerAddress:      net.JoinHostPort(s.Address, strconv.Itoa(s.PeerPort)),
		APIAddress:       s.APIAddress,
		ReadinessAddress: s.ReadinessAddress,
		GracePeriod:      s.Bounds.Grace,
		Cores:            s.Cores,
		Store:            store,
		DirectStore:      direct,
		Peers:            peers,
		Adviser:          adviser,
		Conditions:       followed,
		Replica:          replica,
		NewAPIHandler:    func(in *intake.Intake) http.Handler { return &platform.APIHandler{Intake: in} },
		Log:              logger,
		Metrics:          set,
		Dispatch: func() dispatch.Options {
			bounds := watched.Current().Bounds
			return dispatch.Options{
				Store:         store,
				Replica:       replica,
				Runners:       runners,
				AdviserRoutes: dispatch.AdviserRoutes{Local: adviser, Peers: peers, Hosts: others},
				Conditions:    followed,
				Log:           logger,
				Metrics:       set,
				Now:           now,
				RunnerLease:   bounds.RunnerLease,
				Cores:         s.Cores,
				MaxEarlyStart: bounds.Early / 2, // the rest covers the clocks' differences
				RemoteFactor:  bounds.RemoteX,
			}
		},
	})
}
