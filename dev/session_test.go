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
	operatorTokenFlag = "--token=" + dev.OperatorToken
	outputTimeout     = 30 * time.Second
)

var (
	mwambaoTokenFlag   = "--token=" + dev.Tokens()["mwambao"]
	playaKitsTokenFlag = "--token=" + dev.Tokens()["playa-kits"]
)

// scrubRules replace what differs from run to run.
var scrubRules = []golden.Rule{
	{Pattern: regexp.MustCompile(`\d{4}-\d\d-\d\dT[0-9:.]+Z`), Placeholder: "TIME"},
	{Pattern: regexp.MustCompile(`fd-[ab]-[a-z-]+-u\d`), Placeholder: "UPSTREAM"},
	{Pattern: regexp.MustCompile(`fd-[ab]-w\d\d`), Placeholder: "WORKER"},
	{Pattern: regexp.MustCompile(`fd-[ab]-r\d`), Placeholder: "RACK"},
	{Pattern: regexp.MustCompile(`"execution":\d+`), Placeholder: `"execution":N`},
	{Pattern: regexp.MustCompile(`/tmp/\S+/`), Placeholder: "DIR/"},
}

// session runs command lines against a deployment and records a transcript of
// them, which is compared with a golden file.
type session struct {
	t           *testing.T
	addressFlag string
	out         bytes.Buffer
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
	return &session{t: t, addressFlag: "--address=" + d.EntryHostURLs()[0]}
}

// runUnrecorded runs a command line without recording it, and returns its output
// and exit code.
func (s *session) runUnrecorded(args ...string) (string, int) {
	var out bytes.Buffer
	code := cli.Run(context.Background(), append([]string{s.addressFlag}, args...), &out, &out)
	return out.String(), code
}

// run runs a command line and records it with its output and exit code.
func (s *session) run(args ...string) {
	out, code := s.runUnrecorded(args...)
	fmt.Fprintf(&s.out, "$ cyclamentray %s\n%sexit %d\n\n", strings.Join(args, " "), out, code)
}

// waitForOutput repeats a command line, unrecorded, until its output contains text.
func (s *session) waitForOutput(text string, args ...string) {
	s.t.Helper()
	var out string
	for deadline := time.Now().Add(outputTimeout); time.Now().Before(deadline); time.Sleep(50 * time.Millisecond) {
		if out, _ = s.runUnrecorded(args...); strings.Contains(out, text) {
			return
		}
	}
	s.t.Fatalf("timed out waiting for %q in the output of %v:\n%s", text, args, out)
}

// checkTranscript compares the transcript with the named golden file.
func (s *session) checkTranscript(name string) {
	s.t.Helper()
	golden.Check(s.t, name, golden.Scrub(s.out.String(), scrubRules...))
}

func TestSessionRequest(t *testing.T) {
	s := newSession(t)
	s.run(playaKitsTokenFlag, "request", "loans", "kit/grabbers")
	s.waitForOutput("outcome ran", playaKitsTokenFlag, "request", "--method=POST", "--key=booking-7", "--data=bags", "loans", "bookings")
	s.run(playaKitsTokenFlag, "request", "--method=POST", "--key=booking-7", "--data=bags", "loans", "bookings")
	s.run(playaKitsTokenFlag, "outcome", "loans", "booking-7")
	s.run(playaKitsTokenFlag, "outcome", "loans", "booking-8")
	s.checkTranscript("request")
}

func TestSessionJob(t *testing.T) {
	s := newSession(t)
	submit := []string{mwambaoTokenFlag, "submit", "--template=reconcile", "--tasks=2", "--accelerators=8", "--checkpoint", "--failure-domain=fd-a"}
	s.run(append(submit, "--wait", "mwambao/levy-filings/november")...)
	s.run(append(submit, "mwambao/levy-filings/november")...)
	s.run(mwambaoTokenFlag, "submit", "--template=reconcile", "--tasks=1", "--accelerators=8", "mwambao/levy-filings/november")
	s.run(mwambaoTokenFlag, "status")
	s.checkTranscript("job")
}

func TestSessionRetirement(t *testing.T) {
	s := newSession(t)
	submit := []string{playaKitsTokenFlag, "submit", "--template=train", "--tasks=2", "--accelerators=8", "--checkpoint", "--failure-domain=fd-b"}
	long := "playa-kits/playa-kits-demand/long-autumn"
	s.run(append(submit, long)...)
	s.waitForOutput("running", playaKitsTokenFlag, "status", long)
	s.run(operatorTokenFlag, "retire", "playa-kits-demand")
	s.waitForOutput("cancelled", playaKitsTokenFlag, "status", long)
	s.run(playaKitsTokenFlag, "status", long)
	s.run(append(submit, "playa-kits/playa-kits-demand/winter")...)
	s.run(operatorTokenFlag, "retire", "playa-kits-demand")
	s.checkTranscript("retirement")
}

func TestSessionFailureDomain(t *testing.T) {
	s := newSession(t)
	submit := []string{mwambaoTokenFlag, "submit", "--template=reconcile", "--tasks=1", "--accelerators=8", "--checkpoint"}
	long := "mwambao/levy-filings/long-ledger"
	s.run(operatorTokenFlag, "failure-domain", "out", "fd-b")
	s.waitForOutput("queued", append(submit, long)...)
	s.waitForOutput("running, 1 x 8 accelerators in fd-a", mwambaoTokenFlag, "status", long)
	s.run(operatorTokenFlag, "failure-domain", "in", "fd-b")
	s.run(operatorTokenFlag, "failure-domain", "out", "fd-a")
	s.waitForOutput("running, 1 x 8 accelerators in fd-b", mwambaoTokenFlag, "status", long)
	s.run(mwambaoTokenFlag, "explain", long)
	s.run(append(submit, "--failure-domain=fd-a", "mwambao/levy-filings/pinned")...)
	s.run(append(submit, "--wait", "mwambao/levy-filings/december")...)
	s.run(operatorTokenFlag, "failure-domain", "in", "fd-a")
	s.run(operatorTokenFlag, "failure-domain", "out", "fd-x")
	s.checkTranscript("failure-domain")
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
	s.run(playaKitsTokenFlag, "status", "mwambao/levy-filings/november")
	s.run(mwambaoTokenFlag, "submit", "--template=reconcile", "--tasks=64", "--accelerators=8", "mwambao/levy-filings/large")
	s.run(mwambaoTokenFlag, "submit", "--template=none", "mwambao/levy-filings/strange")
	s.run(mwambaoTokenFlag, "submit", "--template=train", "playa-kits/playa-kits-demand/theirs")
	s.run(mwambaoTokenFlag, "submit", "--template=train", "mwambao/sugar-models")
	s.run(mwambaoTokenFlag, "retire", "levy-filings")
	s.run(operatorTokenFlag, "retire", "no-such-service")
	s.run(operatorTokenFlag, "documents")
	s.run(operatorTokenFlag, "apply", "--expected-revision=99", "../examples/consorcio/organisations.hujson")
	s.run(playaKitsTokenFlag, "request", "no-such-service", "x")
	s.run(mwambaoTokenFlag, "--output=json", "request", "loans", "kit/grabbers")
	s.run("submit")
	s.checkTranscript("refusals")
}
