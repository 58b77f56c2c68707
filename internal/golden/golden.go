// Package golden compares the output of a test with a committed file. Files are
// rewritten only if the flag -update is set:
//
//	go test ./internal/golden -update
//
// Only tests import this package.
package golden

import (
	"flag"
	"fmt"
	"os"
	"path/filepath"
	"regexp"
	"strings"
	"testing"
)

var update = flag.Bool("update", false, "rewrite golden files with what the tests produce")

// Check compares got with testdata/<name>.golden.
func Check(t testing.TB, name, got string) {
	t.Helper()
	CheckFile(t, filepath.Join("testdata", name+".golden"), got)
}

// CheckFile compares got with the file at path. If they differ, it fails the test
// and prints the first line that differs.
func CheckFile(t testing.TB, path, got string) {
	t.Helper()
	if *update {
		rewriteFile(t, path, got)
		return
	}
	want, err := os.ReadFile(path)
	if err != nil {
		t.Fatalf("golden file: %v; run this test with -update to write it, and review it", err)
	}
	if d := difference(string(want), got); d != "" {
		t.Fatalf("%s: %s\nrun this test with -update if the change is intended, and review it", path, d)
	}
}

func rewriteFile(t testing.TB, path, got string) {
	t.Helper()
	if err := os.MkdirAll(filepath.Dir(path), 0o755); err != nil {
		t.Fatal(err)
	}
	if err := os.WriteFile(path, []byte(got), 0o644); err != nil {
		t.Fatal(err)
	}
}

// difference describes the first line that differs. It returns "" for equal texts.
func difference(want, got string) string {
	if want == got {
		return ""
	}
	w, g := strings.Split(want, "\n"), strings.Split(got, "\n")
	for i := range max(len(w), len(g)) {
		if a, b := lineAt(w, i), lineAt(g, i); a != b {
			return fmt.Sprintf("line %d differs\nwant: %s\n got: %s", i+1, a, b)
		}
	}
	return "line ends differ"
}

func lineAt(lines []string, i int) string {
	if i >= len(lines) {
		return "(no such line)"
	}
	return lines[i]
}

// Rule replaces text that varies between runs, such as times, by a fixed
// placeholder.
type Rule struct {
	Pattern     *regexp.Regexp
	Placeholder string
}

// Rules for common kinds of varying text.
var (
	Times     = Rule{regexp.MustCompile(`\d{4}-\d{2}-\d{2}T\d{2}:\d{2}:\d{2}(\.\d+)?(Z|[+-]\d{2}:\d{2})`), "TIME"}
	Durations = Rule{regexp.MustCompile(`\b(\d+h)?(\d+m)?\d+(\.\d+)?(ns|µs|us|ms|s)\b`), "DURATION"}
	Addresses = Rule{regexp.MustCompile(`\b127\.0\.0\.1:\d+\b`), "ADDRESS"}
)

// Scrub returns text with rules applied in order.
func Scrub(text string, rules ...Rule) string {
	for _, r := range rules {
		text = r.Pattern.ReplaceAllString(text, r.Placeholder)
	}
	return text
}
