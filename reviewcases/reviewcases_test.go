package reviewcases

import (
	"context"
	"os"
	"os/exec"
	"path/filepath"
	"syscall"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/shoenig/test/must"
)

// caseLimit bounds one case; the longest takes about a minute.
const caseLimit = 4 * time.Minute

// Exit codes of a case; 0: its rule held.
const (
	ruleBroken  = 1
	couldNotRun = 2
)

// caseRun is a case that is being played.
type caseRun struct {
	name    string
	ended   chan struct{} // closed when output and err are set
	output  []byte
	err     error
	records string // file
}

// start plays the case in a folder of its own, as it writes to the folder that it is in.
func start(t *testing.T, script, programs string) *caseRun {
	source := filepath.Dir(script)
	r := &caseRun{name: filepath.Base(source), ended: make(chan struct{})}
	root := t.TempDir()
	folder := filepath.Join(root, "review", r.name)
	must.NoError(t, os.CopyFS(folder, os.DirFS(source)))
	must.NoError(t, os.Symlink(programs, filepath.Join(root, "target")))
	r.records = filepath.Join(folder, "record.txt")
	must.NoError(t, os.Remove(r.records))
	ctx, cancel := context.WithTimeout(t.Context(), caseLimit)
	command := exec.CommandContext(ctx, "bash", filepath.Join(folder, "run.sh"))
	command.Cancel = func() error { return command.Process.Signal(syscall.SIGTERM) }
	go func() {
		defer close(r.ended)
		defer cancel()
		r.output, r.err = command.CombinedOutput()
	}()
	return r
}

// lastRecords returns the end of what the case has recorded.
func (r *caseRun) lastRecords() string {
	const length = 2000
	text, err := os.ReadFile(r.records)
	if err != nil {
		return err.Error()
	}
	return string(text[max(0, len(text)-length):])
}

func build(t *testing.T, to string, args ...string) {
	out, err := exec.Command("go", append([]string{"build", "-o", to}, args...)...).CombinedOutput()
	must.NoError(t, err, must.Sprint(string(out)))
}

// Guards against a case that no longer says anything, as it waits for what the program doesn't
// do any more, and against the faults that the cases show.
func TestEachCaseOfTheReviewRunsToItsEndAndHolds(t *testing.T) {
	programs := t.TempDir()
	build(t, programs+"/", "../cmd/cyclamentray-batchd")
	build(t, filepath.Join(programs, "review", "standin"), "-tags", "review", "../review/standin")
	build(t, filepath.Join(programs, "review-standin-2"), "../review/standin2")
	scripts, err := filepath.Glob("../review/*/run.sh")
	must.NoError(t, err)
	must.SliceNotEmpty(t, scripts)
	var runs []*caseRun
	for _, script := range scripts {
		runs = append(runs, start(t, script, programs))
	}
	for _, r := range runs {
		<-r.ended
		var exit *exec.ExitError
		switch {
		case r.err == nil:
		case errors.As(r.err, &exit) && exit.ExitCode() == couldNotRun:
			t.Errorf("review/%s couldn't be run to its end: %s\n%s", r.name, r.output, r.lastRecords())
		case errors.As(r.err, &exit) && exit.ExitCode() == ruleBroken:
			t.Errorf("review/%s: its rule was broken: %s\n%s", r.name, r.output, r.lastRecords())
		default:
			t.Errorf("review/%s: %v: %s\n%s", r.name, r.err, r.output, r.lastRecords())
		}
	}
}
