// Command cyclamentray-soak runs hosts as processes under random faults and
// checks what callers and runners observe, for one seed after the other. It
// exits with 1 if a run or a check failed and with 2 on invalid options.
package main

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/jessevdk/go-flags"

	"github.com/cyclamentray/cyclamentray/soak"
)

const (
	exitFailed = 1
	exitUsage  = 2
)

type options struct {
	Binary    string        `long:"binary" default:"target/cyclamentray-batchd" description:"the host's program"`
	Seed      uint64        `long:"seed" default:"1" description:"first seed"`
	Seeds     uint64        `long:"seeds" default:"1" description:"how many seeds, one after the other"`
	Length    time.Duration `long:"length" default:"30s" description:"time with faults of each seed"`
	Hosts     int           `long:"hosts" default:"4" description:"hosts' processes"`
	Runners   int           `long:"runners" default:"12" description:"stand-in runners"`
	Scenarios bool          `long:"scenarios" description:"also run the scenarios, beside the random faults and after them"`
	Scenario  string        `long:"scenario" description:"run only the scenario of this name, and those after the faults"`
	Without   string        `long:"without" description:"with --scenarios, leave out the scenario of this name"`
	Verbose   bool          `long:"verbose" description:"print each fault"`
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
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	code := 0
	for seed := o.Seed; seed < o.Seed+o.Seeds && ctx.Err() == nil; seed++ {
		if !runSeed(ctx, o, seed) {
			code = exitFailed
		}
	}
	return code
}

func runSeed(ctx context.Context, o options, seed uint64) bool {
	dir, err := soak.TempDir()
	if err != nil {
		fmt.Fprintln(os.Stderr, "cyclamentray-soak:", err)
		return false
	}
	startedAt := time.Now()
	options := soak.Options{Binary: o.Binary, Dir: dir, Seed: seed, FaultPeriod: o.Length, Hosts: o.Hosts, Runners: o.Runners, Scenarios: o.Scenarios || o.Scenario != "", Scenario: o.Scenario, Without: o.Without}
	if o.Verbose {
		options.Log = func(text string) { fmt.Printf("%8.2f  %s\n", time.Since(startedAt).Seconds(), text) }
	}
	report, err := soak.Run(ctx, options)
	if err != nil {
		fmt.Fprintln(os.Stderr, "cyclamentray-soak:", err)
		return false
	}
	fmt.Println(report)
	for _, v := range report.Violations {
		fmt.Println("  " + v)
	}
	if len(report.Violations) > 0 {
		fmt.Println("  logs kept in", dir)
		return false
	}
	if err := os.RemoveAll(dir); err != nil {
		fmt.Fprintln(os.Stderr, "cyclamentray-soak:", err)
	}
	return true
}
