package cli

import (
	"fmt"
	"maps"
	"os"
	"slices"

	"github.com/charmbracelet/log"

	"github.com/cyclamentray/cyclamentray/dev"
)

type devCommand struct {
	app     *app
	Once    bool `long:"once" description:"run the example work, print a report and exit"`
	Verbose bool `long:"verbose" description:"show the entry hosts' logs on standard error"`
}

// Execute boots a deployment on loopback and runs the example work or waits.
func (c *devCommand) Execute([]string) error {
	level := log.ErrorLevel
	if c.Verbose {
		level = log.InfoLevel
	}
	d, err := dev.Start(c.app.ctx, dev.Options{
		FailureDomains: dev.FailureDomains(),
		Services:       dev.Services(),
		Size:           dev.DefaultSize(),
		Logs:           os.Stderr,
		LogLevel:       level,
	})
	if err != nil {
		return err
	}
	defer func() { _ = d.Close() }()
	if c.Once {
		return d.Scenario(c.app.ctx, c.app.out)
	}
	return c.stay(d)
}

// stay keeps the deployment up until the command is interrupted.
func (c *devCommand) stay(d *dev.Deployment) error {
	if _, err := d.Apply(c.app.ctx); err != nil {
		return err
	}
	fmt.Fprintln(c.app.out, "platform stand-in:", d.Platform())
	for _, url := range d.Addresses() {
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
