package settings

import (
	"os"
	"path/filepath"
	"reflect"
	"strings"
	"testing"

	"github.com/shoenig/test/must"
)

// A setting that nothing reads misleads operators.
func TestEveryLimitAndTimeIsReadByTheEntryHost(t *testing.T) {
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
