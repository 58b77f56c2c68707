// Command cyclamentray-batchd runs one host of the batch scheduler on the users'
// platform. It exits with 0 after a drain, 1 on a failure and 2 on invalid
// options or settings.
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
	"github.com/cyclamentray/cyclamentray/batch/mechanism"
	"github.com/cyclamentray/cyclamentray/internal/bytebudget"
	"github.com/cyclamentray/cyclamentray/kvstore"
	"github.com/cyclamentray/cyclamentray/peer"
	"github.com/cyclamentray/cyclamentray/platform"
	"github.com/cyclamentray/cyclamentray/telemetry"
)

const (
	exitFailed = 1
	exitUsage  = 2

	// memoryLimitShare is the part of the host's memory limit that is set as the
	// garbage collector's limit; the rest is for memory that the runtime doesn't
	// count.
	memoryLimitShare = 0.6

	// gcPercent keeps the heap small at the cost of a little CPU time.
	gcPercent = 60

	megabyte        = 1 << 20
	logFlushTimeout = 300 * time.Millisecond // for the last log lines on exit
)

type options struct {
	Settings    string   `long:"settings" description:"settings file; without it the platform's environment variable names it"`
	MetricsPort int      `long:"metrics-port" description:"port of the host's address that serves metrics at /metrics; 0: none"`
	Without     []string `long:"experiment-without" value-name:"MECHANISM" description:"for experiments only: switch a mechanism of the scheduler off, to measure what it is worth; may be repeated"`
	LogLevel    string   `long:"log-level" default:"info" choice:"debug" choice:"info" choice:"warn" choice:"error" description:"least level of log lines"`
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
	off, err := mechanism.Parse(o.Without)
	if err != nil {
		fmt.Fprintln(os.Stderr, "cyclamentray-batchd:", err)
		return exitUsage
	}
	s, err := platform.LoadSettings(o.Settings)
	if err != nil {
		fmt.Fprintln(os.Stderr, "cyclamentray-batchd:", err)
		return exitUsage
	}
	debug.SetGCPercent(gcPercent)
	debug.SetMemoryLimit(int64(float64(s.MemoryMB) * memoryLimitShare * megabyte))
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	out := telemetry.NewAsyncWriter(os.Stdout)
	defer func() {
		flushCtx, cancel := context.WithTimeout(context.Background(), logFlushTimeout)
		defer cancel()
		out.Close(flushCtx.Done())
	}()
	logger := telemetry.NewStructuredLogger(out, o.LogLevel).With("host", s.Host)
	settingsWatcher := platform.NewSettingsWatcher(o.Settings, s, logger)
	reload := make(chan os.Signal, 1)
	signal.Notify(reload, syscall.SIGHUP)
	go settingsWatcher.Run(ctx, reload)
	h := newHost(settingsWatcher, logger, out, off)
	if o.MetricsPort > 0 {
		h.MetricsAddress = net.JoinHostPort(s.Address, strconv.Itoa(o.MetricsPort))
	}
	if err := h.Run(ctx); err != nil {
		fmt.Fprintln(os.Stderr, "cyclamentray-batchd:", err)
		return exitFailed
	}
	return 0
}

func newHost(settingsWatcher *platform.SettingsWatcher, logger *log.Logger, out *telemetry.AsyncWriter, off mechanism.Set) *host.Host {
	set := metrics.NewSet()
	set.NewGauge("cyclamentray_log_lines_dropped", func() float64 { return float64(out.Dropped()) })
	s := settingsWatcher.Current()
	replica := ledger.NewReplica(logger)
	directStore := platform.NewStoreClient(s.StoreAddress)
	peers := peer.NewPool(peer.Options{Host: s.Host})
	peerAddresses := host.PeerAddresses(replica, s.Host)
	if !off.On(mechanism.PeerCalls) {
		peerAddresses = func() []string { return nil }
	}
	store := &kvstore.Fallback{
		Direct:    directStore,
		Peers:     peers,
		Addresses: peerAddresses,
		ProbeKey:  ledger.LeaderKey,
		Metrics:   set,
	}
	currentConditions := conditions.New(store, platform.EntryFormat, s.HeartbeatInterval, logger)
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
		Limits:           host.LimitsFor(s.MemoryMB, s.MaxFDs),
		Off:              off,
		Store:            store,
		DirectStore:      directStore,
		Peers:            peers,
		Adviser:          adviser,
		Conditions:       currentConditions,
		Replica:          replica,
		NewAPIHandler: func(in *intake.Intake, bodies *bytebudget.Budget) http.Handler {
			return &platform.APIHandler{Intake: in, Bodies: bodies}
		},
		Log:     logger,
		Metrics: set,
		Dispatch: func() dispatch.Options {
			bounds := settingsWatcher.Current().Bounds
			return dispatch.Options{
				Store:         store,
				Replica:       replica,
				Runners:       runners,
				AdviserRoutes: dispatch.AdviserRoutes{Local: adviser, Peers: peers, Hosts: peerAddresses},
				Conditions:    currentConditions,
				Log:           logger,
				Metrics:       set,
				Now:           now,
				RunnerLease:   bounds.RunnerLease,
				Cores:         s.Cores,
				Off:           off,
				MaxEarlyStart: bounds.Early / 2, // the other half covers differences between clocks
				RemoteFactor:  bounds.RemoteX,
			}
		},
	})
}
