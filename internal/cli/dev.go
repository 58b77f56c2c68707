package cli

import (
	"fmt"
	"maps"
	"os"
	"slices"

	"github.com/charmbracelet/log"
	sdktrace "go.opentelemetry.io/otel/sdk/trace"

	"github.com/cyclamentray/cyclamentray/dev"
	"github.com/cyclamentray/cyclamentray/telemetry"
)

type devCommand struct {
	app     *app
	Once    bool `long:"once" description:"run the example work, print a report and exit"`
	Trace   bool `long:"trace" description:"with --once, print the traces of a filing, a line for each hop"`
	Verbose bool `long:"verbose" description:"show the entry hosts' logs on standard error"`
}

// Execute starts a deployment on loopback, and either runs the example work or
// waits for an interrupt.
func (c *devCommand) Execute([]string) error {
	level := log.ErrorLevel
	if c.Verbose {
		level = log.InfoLevel
	}
	recorder, err := c.setupRecorder()
	if err != nil {
		return err
	}
	d, err := dev.Start(c.app.ctx, dev.Options{
		FailureDomains: dev.FailureDomains(),
		Services:       dev.Services(),
		Size:           dev.DefaultSize(),
		LogOutput:      os.Stderr,
		LogLevel:       level,
	})
	if err != nil {
		return err
	}
	defer func() { _ = d.Close() }()
	if c.Once {
		return d.Scenario(c.app.ctx, c.app.out, recorder)
	}
	return c.serveUntilInterrupted(d)
}

// setupRecorder returns a Recorder of the process's spans, or nil without --trace.
func (c *devCommand) setupRecorder() (*telemetry.Recorder, error) {
	if !c.Trace {
		return nil, nil
	}
	recorder := telemetry.NewRecorder()
	_, err := telemetry.SetupTracing(c.app.ctx, telemetry.Tracing{Processors: []sdktrace.SpanProcessor{recorder}})
	return recorder, err
}

// serveUntilInterrupted applies the documents, prints addresses and tokens, and
// waits until the command is interrupted.
func (c *devCommand) serveUntilInterrupted(d *dev.Deployment) error {
	if _, err := d.Apply(c.app.ctx); err != nil {
		return err
	}
	fmt.Fprintln(c.app.out, "platform stand-in:", d.PlatformURL())
	for _, url := range d.EntryHostURLs() {
		fmt.Fprintln(c.app.out, "entry host:", url)
	}
	fmt.Fprintln(c.app.out, "operator's token:", dev.OperatorToken)
	tokens := dev.Tokens()
	for _, organisation := range slices.Sorted(maps.Keys(tokens)) {
		fmt.Fprintf(c.app.out, "token of %s: %s\n", organisation, tokens[organisation])
	}
	fmt.Fprintln(c.app.out, "stop with Ctrl-C")
	<-c.app.ctx.Done()
	return nil
}
