package dev_test

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"os"
	"path/filepath"
	"regexp"
	"strings"
	"testing"
	"time"

	"github.com/charmbracelet/log"
	"github.com/shoenig/test/must"

	"github.com/cyclamentray/cyclamentray/dev"
	"github.com/cyclamentray/cyclamentray/internal/cli"
	"github.com/cyclamentray/cyclamentray/internal/golden"
)

const (
	operator = "--token=" + dev.OperatorToken
	patience = 30 * time.Second
)

var (
	filer   = "--token=" + dev.Tokens()["mwambao"]
	partner = "--token=" + dev.Tokens()["playa-kits"]
)

// What differs from run to run.
var rules = []golden.Rule{
	{Pattern: regexp.MustCompile(`\d{4}-\d\d-\d\dT[0-9:.]+Z`), Placeholder: "TIME"},
	{Pattern: regexp.MustCompile(`fd-[ab]-[a-z-]+-u\d`), Placeholder: "UPSTREAM"},
	{Pattern: regexp.MustCompile(`fd-[ab]-w\d\d`), Placeholder: "WORKER"},
	{Pattern: regexp.MustCompile(`fd-[ab]-r\d`), Placeholder: "RACK"},
	{Pattern: regexp.MustCompile(`"execution":\d+`), Placeholder: `"execution":N`},
	{Pattern: regexp.MustCompile(`/tmp/\S+/`), Placeholder: "DIR/"},
}

// session is a transcript of command lines against a deployment.
type session struct {
	t       *testing.T
	address string
	out     bytes.Buffer
}

func newSession(t *testing.T) *session {
	t.Helper()
	d, err := dev.Start(context.Background(), dev.Options{
		FailureDomains: dev.FailureDomains(),
		Services:       dev.Services(),
		Size:           dev.DefaultSize(),
		LogOutput:      io.Discard,
		LogLevel:       log.ErrorLevel,
	})
	must.NoError(t, err)
	t.Cleanup(func() { must.NoError(t, d.Close()) })
	_, err = d.Apply(context.Background())
	must.NoError(t, err)
	return &session{t: t, address: "--address=" + d.EntryHostURLs()[0]}
}

// command runs a command line without recording it.
func (s *session) command(args ...string) (string, int) {
	var out bytes.Buffer
	code := cli.Run(context.Background(), append([]string{s.address}, args...), &out, &out)
	return out.String(), code
}

// run runs a command line and records it with its output and exit code.
func (s *session) run(args ...string) {
	out, code := s.command(args...)
	fmt.Fprintf(&s.out, "$ cyclamentray %s\n%sexit %d\n\n", strings.Join(args, " "), out, code)
}

// until repeats a command line, unrecorded, until its output holds text.
func (s *session) until(text string, args ...string) {
	s.t.Helper()
	var out string
	for deadline := time.Now().Add(patience); time.Now().Before(deadline); time.Sleep(50 * time.Millisecond) {
		if out, _ = s.command(args...); strings.Contains(out, text) {
			return
		}
	}
	s.t.Fatalf("gave up waiting for %q in the output of %v:\n%s", text, args, out)
}

func (s *session) check(name string) {
	s.t.Helper()
	golden.Check(s.t, name, golden.Scrub(s.out.String(), rules...))
}

func TestSessionRequest(t *testing.T) {
	s := newSession(t)
	s.run(partner, "request", "loans", "kit/grabbers")
	s.until("outcome ran", partner, "request", "--method=POST", "--key=booking-7", "--data=bags", "loans", "bookings")
	s.run(partner, "request", "--method=POST", "--key=booking-7", "--data=bags", "loans", "bookings")
	s.run(partner, "outcome", "loans", "booking-7")
	s.run(partner, "outcome", "loans", "booking-8")
	s.check("request")
}

func TestSessionJob(t *testing.T) {
	s := newSession(t)
	submit := []string{filer, "submit", "--template=reconcile", "--tasks=2", "--accelerators=8", "--checkpoint", "--failure-domain=fd-a"}
	s.run(append(submit, "--wait", "mwambao/levy-filings/november")...)
	s.run(append(submit, "mwambao/levy-filings/november")...)
	s.run(filer, "submit", "--template=reconcile", "--tasks=1", "--accelerators=8", "mwambao/levy-filings/november")
	s.run(filer, "status")
	s.check("job")
}

func TestSessionRetirement(t *testing.T) {
	s := newSession(t)
	submit := []string{partner, "submit", "--template=train", "--tasks=2", "--accelerators=8", "--checkpoint", "--failure-domain=fd-b"}
	long := "playa-kits/playa-kits-demand/long-autumn"
	s.run(append(submit, long)...)
	s.until("running", partner, "status", long)
	s.run(operator, "retire", "playa-kits-demand")
	s.until("cancelled", partner, "status", long)
	s.run(partner, "status", long)
	s.run(append(submit, "playa-kits/playa-kits-demand/winter")...)
	s.run(operator, "retire", "playa-kits-demand")
	s.check("retirement")
}

func TestSessionFailureDomain(t *testing.T) {
	s := newSession(t)
	submit := []string{filer, "submit", "--template=reconcile", "--tasks=1", "--accelerators=8", "--checkpoint"}
	long := "mwambao/levy-filings/long-ledger"
	s.run(operator, "failure-domain", "out", "fd-b")
	s.until("queued", append(submit, long)...)
	s.until("running, 1 x 8 accelerators in fd-a", filer, "status", long)
	s.run(operator, "failure-domain", "in", "fd-b")
	s.run(operator, "failure-domain", "out", "fd-a")
	s.until("running, 1 x 8 accelerators in fd-b", filer, "status", long)
	s.run(filer, "explain", long)
	s.run(append(submit, "--failure-domain=fd-a", "mwambao/levy-filings/pinned")...)
	s.run(append(submit, "--wait", "mwambao/levy-filings/december")...)
	s.run(operator, "failure-domain", "in", "fd-a")
	s.run(operator, "failure-domain", "out", "fd-x")
	s.check("failure-domain")
}

func TestSessionRefusals(t *testing.T) {
	s := newSession(t)
	bad := filepath.Join(t.TempDir(), "bad.hujson")
	must.NoError(t, os.WriteFile(bad, []byte(`{
	"kind": "service",
	"name": "Bad Name",
	"organisation": "mwambao",
	"tema": "filings",
	"jobs": [{"name": "train", "shape": {"tasks": -2, "acceleratorsPerTask": 8}, "runSeconds": 60}],
}`), 0o600))
	s.run("validate", bad)
	s.run("status", "mwambao/levy-filings/november")
	s.run("--token=guess", "status", "mwambao/levy-filings/november")
	s.run(partner, "status", "mwambao/levy-filings/november")
	s.run(filer, "submit", "--template=reconcile", "--tasks=64", "--accelerators=8", "mwambao/levy-filings/large")
	s.run(filer, "submit", "--template=none", "mwambao/levy-filings/strange")
	s.run(filer, "submit", "--template=train", "playa-kits/playa-kits-demand/theirs")
	s.run(filer, "submit", "--template=train", "mwambao/sugar-models")
	s.run(filer, "retire", "levy-filings")
	s.run(operator, "retire", "no-such-service")
	s.run(operator, "documents")
	s.run(operator, "apply", "--expected-revision=99", "../examples/consorcio/organisations.hujson")
	s.run(partner, "request", "no-such-service", "x")
	s.run(filer, "--output=json", "request", "loans", "kit/grabbers")
	s.run("submit")
	s.check("refusals")
}
