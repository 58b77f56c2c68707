package golden

import (
	"os"
	"path/filepath"
	"testing"

	"github.com/shoenig/test/must"
)

// fatalRecorder is a testing.TB whose Fatalf records the format of the message and
// panics instead of failing the test.
type fatalRecorder struct {
	testing.TB
	message string
}

func (f *fatalRecorder) Helper() {}

func (f *fatalRecorder) Fatalf(format string, _ ...any) {
	f.message = format
	panic(f)
}

func checkFails(t *testing.T, path, got string) (failed bool) {
	defer func() { failed = recover() != nil }()
	CheckFile(&fatalRecorder{TB: t}, path, got)
	return false
}

func TestCheckFile_OnlyUpdateRewrites(t *testing.T) {
	path := filepath.Join(t.TempDir(), "testdata", "session.golden")
	must.True(t, checkFails(t, path, "one\n"), must.Sprint("a missing file must fail"))

	*update = true
	must.False(t, checkFails(t, path, "one\n"))
	*update = false
	must.False(t, checkFails(t, path, "one\n"))
	must.True(t, checkFails(t, path, "two\n"))

	kept, err := os.ReadFile(path)
	must.NoError(t, err)
	must.Eq(t, "one\n", string(kept))
}

func TestDifference(t *testing.T) {
	must.Eq(t, "", difference("a\nb\n", "a\nb\n"))
	must.Eq(t, "line 2 differs\nwant: b\n got: c", difference("a\nb\n", "a\nc\n"))
	must.Eq(t, "line 2 differs\nwant: \n got: b", difference("a\n", "a\nb\n"))
}

func TestScrub(t *testing.T) {
	text := "at 2026-01-02T03:04:05.678Z from 127.0.0.1:4242 in 1m2.5s and 30µs, 12 tasks, fd-a, 7 seconds"
	must.Eq(t, "at TIME from ADDRESS in DURATION and DURATION, 12 tasks, fd-a, 7 seconds", Scrub(text, Times, Addresses, Durations))
}
