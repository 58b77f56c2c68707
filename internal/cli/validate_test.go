package cli

import (
	"bytes"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"testing"

	"github.com/shoenig/test/must"

	"github.com/cyclamentray/cyclamentray/api"
	"github.com/cyclamentray/cyclamentray/config"
	"github.com/cyclamentray/cyclamentray/internal/httpjson"
)

func runCLI(t *testing.T, args ...string) (code int, out, errOut string) {
	var o, e bytes.Buffer
	code = Run(t.Context(), args, &o, &e)
	return code, o.String(), e.String()
}

func TestValidate(t *testing.T) {
	org, err := config.ParseDocuments("", []byte(`{"kind": "organisation", "name": "pwani", "teams": [{"name": "levy"}]}`))
	must.NoError(t, err)
	host := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		httpjson.Write(w, http.StatusOK, api.ConfigReply{Revision: 4, Documents: org, Retired: map[string]uint64{"levies": 3}})
	}))
	defer host.Close()
	dir := t.TempDir()
	write := func(name, text string) string {
		file := filepath.Join(dir, name)
		must.NoError(t, os.WriteFile(file, []byte(text), 0o600))
		return file
	}
	good := write("good.hujson", `{"kind": "service", "name": "filings", "organisation": "pwani", "team": "levy"}`)
	retired := write("retired.hujson", `{"kind": "service", "name": "levies", "organisation": "pwani", "team": "levy"}`)
	bad := write("bad.hujson", "{\"kind\": \"service\",\n\"nmae\": \"x\"}")

	cases := []struct {
		name string
		args []string
		code int
		want string
	}{
		{"alone", []string{good}, ExitInvalid, "good.hujson:1: organisation: service/filings: unknown organisation pwani"},
		{"with what is in force", []string{"--in-force", good}, ExitOK, "1 files are valid"},
		{"retired name", []string{"--in-force", retired}, ExitInvalid, "retired at revision 3"},
		{"line of a mistake", []string{good, bad}, ExitInvalid, `bad.hujson:2: nmae: unknown field; did you mean "name"?`},
		{"settings", []string{"--settings", "../../examples/settings.hujson"}, ExitOK, "1 files are valid"},
		{"documents as settings", []string{"--settings", good}, ExitInvalid, "good.hujson:1: host.name: required field is missing"},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			code, out, errOut := runCLI(t, append([]string{"validate", "--address", host.URL}, c.args...)...)
			must.StrContains(t, out+errOut, c.want)
			must.Eq(t, c.code, code)
		})
	}
}
