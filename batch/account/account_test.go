package account_test

import (
	"bytes"
	"fmt"
	"io"
	"strings"
	"testing"

	"github.com/shoenig/test/must"

	"github.com/cyclamentray/cyclamentray/batch/account"
)

const (
	hostA = `  1.2 a time=2026-01-01T00:00:01.000Z level=info msg=submit host=a job=00ff organisation=one outcome=accepted
  0.1 a time=2026-01-01T00:00:00.500Z level=info msg="term acquired" host=a token=3
  3.1 a time=2026-01-01T00:00:03.000Z level=warn msg="store lost" host=a prefix=batch/ err="status 503"
not a line of ours
`
	hostB = `time=2026-01-01T00:00:02.000Z level=info msg=place host=b job=00ff occurrence=0 step=0 task=1 attempt=1 runner=i-7 reason="" waited=20ms
time=2026-01-01T00:00:02.500Z level=info msg=runner host=b runner=i-7 draining=true
time=2026-01-01T00:00:02.600Z level=info msg=runner host=b runner=i-8 draining=true
time=2026-01-01T00:00:02.700Z level=info msg=place host=b job=00aa task=1 runner=i-7
time=2026-01-01T00:00:04.000Z level=info msg=end host=b job=00ff task=1 attempt=1 runner=i-7 reason=done
`
)

func TestAccountMergesHostLogsInTimeOrder(t *testing.T) {
	a, err := account.Read("00ff", []io.Reader{strings.NewReader(hostB), strings.NewReader(hostA)}, nil)
	must.NoError(t, err)
	must.Eq(t, strings.Join([]string{
		"2026-01-01T00:00:01.000Z  a  submit  organisation=one  outcome=accepted",
		"2026-01-01T00:00:02.000Z  b  place  step=0  task=1  attempt=1  runner=i-7  waited=20ms",
		"2026-01-01T00:00:02.500Z  b  runner  runner=i-7  draining=true",
		"2026-01-01T00:00:03.000Z  a  store lost  prefix=batch/  err=status 503",
		"2026-01-01T00:00:04.000Z  b  end  task=1  attempt=1  runner=i-7  reason=done",
	}, "\n"), a.String())
	must.Eq(t, 9, a.Read)
}

// Guards against an account that doesn't show why the runs on a runner were given up.
func TestAccountShowsWhatWasBelievedOfTheJobsRunners(t *testing.T) {
	at := func(second int, text string) string {
		return fmt.Sprintf("time=2026-01-01T00:00:%02d.000Z level=info msg=%s\n", second, text)
	}
	log := at(1, "place host=b job=00ff task=1 runner=i-7")
	want := []string{"place"}
	for i, what := range []string{"runner restarted", "runner fenced", "runner's entry removed", "runner left", "runner gone"} {
		log += at(2+i, fmt.Sprintf("%q host=b runner=i-7", what)) + at(2+i, fmt.Sprintf("%q host=b runner=i-8", what))
		want = append(want, what)
	}
	log += at(9, "end host=b job=00ff task=1 runner=i-7 reason=stopped")
	a, err := account.Read("00ff", []io.Reader{strings.NewReader(log)}, nil)
	must.NoError(t, err)
	var got []string
	for _, l := range a.Lines {
		got = append(got, l.What)
	}
	must.Eq(t, append(want, "end"), got)
}

func TestAccountOfUnknownJobAsksForLogsOfEveryHost(t *testing.T) {
	a, err := account.Read("0bad", []io.Reader{strings.NewReader(hostA)}, nil)
	must.NoError(t, err)
	must.StrContains(t, a.String(), "give the logs of every host")
}

// Of a million lines every one is read, and progress is called every 200,000 lines.
func TestReadReportsProgressOverAMillionLines(t *testing.T) {
	var log bytes.Buffer
	for i := range 1_000_000 {
		fmt.Fprintf(&log, "time=2026-01-01T00:00:%02d.%03dZ level=info msg=end host=a job=%016x task=1 reason=done\n", i/20_000, i%1000, i)
	}
	progressCalls := 0
	a, err := account.Read("000000000000beef", []io.Reader{&log}, func(int) { progressCalls++ })
	must.NoError(t, err)
	must.Len(t, 1, a.Lines)
	must.Eq(t, 1_000_000, a.Read)
	must.Eq(t, 5, progressCalls)
}
