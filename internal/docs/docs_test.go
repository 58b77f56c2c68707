package docs

import (
	"io/fs"
	"os"
	"path/filepath"
	"regexp"
	"strings"
	"testing"

	"github.com/shoenig/test/must"
)

const root = "../.."

var (
	testName = regexp.MustCompile(`\b(?:Test|Fuzz)[A-Z]\w*`)
	testFunc = regexp.MustCompile(`(?m)^func ((?:Test|Fuzz)\w+)\(`)
	linkPath = regexp.MustCompile(`\]\(([^)#:]+)\)`)
)

// readFiles returns the contents, by path, of the files below root for which keep
// returns true.
func readFiles(t *testing.T, keep func(path string) bool) map[string]string {
	t.Helper()
	found := make(map[string]string)
	err := filepath.WalkDir(root, func(path string, d fs.DirEntry, err error) error {
		if err != nil || d.IsDir() || !keep(path) {
			return err
		}
		data, err := os.ReadFile(path)
		found[path] = string(data)
		return err
	})
	must.NoError(t, err)
	return found
}

// Every test named in docs/PROOFS.md must exist. A name that ends in * stands for
// any test with that prefix.
func TestProofsNameTestsThatExist(t *testing.T) {
	var names []string
	for _, text := range readFiles(t, func(path string) bool { return strings.HasSuffix(path, "_test.go") }) {
		for _, m := range testFunc.FindAllStringSubmatch(text, -1) {
			names = append(names, m[1])
		}
	}
	known := strings.Join(names, "\n") + "\n"
	page, err := os.ReadFile(filepath.Join(root, "docs/PROOFS.md"))
	must.NoError(t, err)
	for _, loc := range testName.FindAllStringIndex(string(page), -1) {
		name := string(page[loc[0]:loc[1]])
		if !strings.HasPrefix(string(page[loc[1]:]), "*") {
			name += "\n"
		}
		must.StrContains(t, "\n"+known, "\n"+name)
	}
}

// Every relative link in a Markdown page must lead to a file.
func TestLinksLeadToFiles(t *testing.T) {
	pages := readFiles(t, func(path string) bool { return strings.HasSuffix(path, ".md") })
	for page, text := range pages {
		for _, m := range linkPath.FindAllStringSubmatch(text, -1) {
			_, err := os.Stat(filepath.Join(filepath.Dir(page), m[1]))
			must.NoError(t, err, must.Sprint(page))
		}
	}
}
