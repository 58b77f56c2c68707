package settings

import (
	"testing"

	"github.com/shoenig/test/must"

	"github.com/cyclamentray/cyclamentray/internal/golden"
	"github.com/cyclamentray/cyclamentray/internal/schema"
)

func TestExampleSettings_EveryFieldCommentedAndValid(t *testing.T) {
	text := "// Settings of one entry host. Every field is shown; those with a default may be left out.\n" +
		"// The operator's token of this example is operator-trial; make your own hash with: printf %s TOKEN | sha256sum\n" +
		schema.Example(&settingsSchema, map[string]any{
			"host.name":           "entry-a-1",
			"host.failureDomain":  "fd-a",
			"host.region":         "east",
			"platform.urls":       []string{"http://127.0.0.1:8500"},
			"operatorTokenHashes": []string{"21617df5618c0313ffd443c0659cb7cbe37165e46b0d48407a8404fa718bceb2"},
		})
	golden.CheckFile(t, "../examples/settings.hujson", text)
	_, err := Load("../examples/settings.hujson")
	must.NoError(t, err)
}
