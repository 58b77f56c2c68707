// Command cyclamentrayd is one entry host: it takes callers' requests and
// jobs, and schedules its failure domain when it holds the term. It exits with
// 0 after a drain, 1 on a failure and 2 when its settings are wrong.
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

// The collector runs less often than by default: a host's heap is a small part
// of the memory that control may take. GOGC and GOMEMLIMIT outrank both.
const (
	collectPercent = 400
	memoryLimit    = 100 << 20 // bytes
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
	tuneCollector()
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	if err := serve(ctx, loaded); err != nil {
		fmt.Fprintln(os.Stderr, "cyclamentrayd:", err)
		os.Exit(exitFailed)
	}
}

func tuneCollector() {
	if os.Getenv("GOGC") == "" {
		debug.SetGCPercent(collectPercent)
	}
	if os.Getenv("GOMEMLIMIT") == "" {
		debug.SetMemoryLimit(memoryLimit)
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
