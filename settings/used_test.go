package settings

import (
	"os"
	"path/filepath"
	"reflect"
	"strings"
	"testing"

	"github.com/shoenig/test/must"
)

// Every timing and limit must be used by the source code of the entry host: a
// setting without effect would mislead operators.
func TestEntryHostReadsEveryTimingAndLimit(t *testing.T) {
	files, err := filepath.Glob("../entryhost/*.go")
	must.NoError(t, err)
	var source strings.Builder
	for _, file := range files {
		data, err := os.ReadFile(file)
		must.NoError(t, err)
		source.Write(data)
	}
	timing, limits := reflect.TypeFor[Timing](), reflect.TypeFor[Limits]()
	must.Eq(t, timing.NumField(), timing.NumMethod())
	for m := range timing.Methods() {
		must.StrContains(t, source.String(), "."+m.Name+"()")
	}
	for f := range limits.Fields() {
		must.StrContains(t, source.String(), "Limits."+f.Name)
	}
}
