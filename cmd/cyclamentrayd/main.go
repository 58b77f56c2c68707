// Command cyclamentrayd runs one entry host: it accepts callers' requests and
// jobs, and schedules its failure domain while it holds the scheduler's term. It
// exits with 0 after a drain, 1 on a failure and 2 on invalid options or
// settings.
package main

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"runtime/debug"
	"syscall"

	"github.com/jessevdk/go-flags"

	"github.com/cyclamentray/cyclamentray/entryhost"
	"github.com/cyclamentray/cyclamentray/settings"
	"github.com/cyclamentray/cyclamentray/telemetry"
)

const (
	exitFailed = 1
	exitUsage  = 2
)

// Settings of the garbage collector. It runs less often than by default, since a
// host's heap is a small part of the memory that the control plane may use. The
// environment variables GOGC and GOMEMLIMIT take precedence.
const (
	gcPercent        = 400
	memoryLimitBytes = 100 << 20
)

type options struct {
	Settings string `long:"settings" required:"yes" description:"settings file: JSON with comments; 'cyclamentray describe settings' lists its fields"`
}

func main() {
	var o options
	parser := flags.NewNamedParser("cyclamentrayd", flags.Default)
	if _, err := parser.AddGroup("Options", "", &o); err != nil {
		os.Exit(exitFailed)
	}
	if _, err := parser.Parse(); err != nil {
		if flags.WroteHelp(err) {
			return
		}
		os.Exit(exitUsage)
	}
	loaded, err := settings.Load(o.Settings)
	if err != nil {
		fmt.Fprintln(os.Stderr, "cyclamentrayd:", err)
		os.Exit(exitUsage)
	}
	tuneGC()
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	if err := serve(ctx, loaded); err != nil {
		fmt.Fprintln(os.Stderr, "cyclamentrayd:", err)
		os.Exit(exitFailed)
	}
}

func tuneGC() {
	if os.Getenv("GOGC") == "" {
		debug.SetGCPercent(gcPercent)
	}
	if os.Getenv("GOMEMLIMIT") == "" {
		debug.SetMemoryLimit(memoryLimitBytes)
	}
}

func serve(ctx context.Context, s *settings.Settings) error {
	shutdown, err := telemetry.SetupTracing(ctx, telemetry.Tracing{
		Exporter:      string(s.Trace.Exporter),
		Endpoint:      s.Trace.Endpoint,
		SamplePercent: s.Trace.SamplePercent,
		Host:          s.Host.Name,
		Stdout:        os.Stdout,
	})
	if err != nil {
		return err
	}
	defer func() { _ = shutdown(context.Background()) }()
	host, err := entryhost.New(entryhost.Options{Settings: s, Logger: telemetry.NewLogger(os.Stderr, s.Log.Level)})
	if err != nil {
		return err
	}
	return host.Run(ctx)
}
