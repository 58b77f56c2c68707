package settings

import (
	"encoding/json"
	"strings"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/cyclamentray/cyclamentray/apierr"
)

const minimalSettings = `{
  "host": {"name": "a-1", "failureDomain": "fd-a", "region": "east"},
  "platform": {"urls": ["http://127.0.0.1:8500"]},
}`

func TestParse_FillsInDefaults(t *testing.T) {
	s, err := Parse("s.hujson", []byte(minimalSettings))
	must.NoError(t, err)
	must.Eq(t, 2*time.Second, s.Timing.PeerTimeout())
	must.Eq(t, 5*time.Second, s.Timing.DrainWait())
	must.Eq(t, ExportNone, s.Trace.Exporter)
	must.Eq(t, s.Listen.Peer, s.Advertise.Peer)
	must.False(t, s.TLS.HTTP.Enabled())
	must.Eq(t, 10*time.Second, s.TLS.ReloadInterval())
}

func TestParse_Mistakes(t *testing.T) {
	cases := []struct {
		name, old, replacement, want string
	}{
		{"malformed", `"host": {`, `"host" {`, `s.hujson:2: malformed JSON: invalid character '{' after object name (column 10); write JSON; comments and trailing commas are allowed`},
		{"unknown field", `"region"`, `"regoin": "x", "region"`, `s.hujson:2: host.regoin: unknown field; did you mean "region"?`},
		{"missing field", `"name": "a-1", `, ``, `s.hujson:2: host.name: required field is missing; add 1 to 63 lower-case letters, digits and hyphens`},
		{"duplicate field", `"name": "a-1"`, `"name": "a-1", "name": "a-2"`, `s.hujson:2: host.name: field appears twice; keep one of the two`},
		{"wrong type", `"a-1"`, `7`, `s.hujson:2: host.name: a number where a string is expected; write 1 to 63 lower-case letters, digits and hyphens`},
		{"null", `"a-1"`, `null`, `s.hujson:2: host.name: null where a string is expected; write 1 to 63 lower-case letters, digits and hyphens`},
		{"not an integer", `"platform"`, `"limits": {"documentBytes": 1e9}, "platform"`, `s.hujson:3: limits.documentBytes: 1e9 is not an integer in range; write an integer from 1024 to 1048576 bytes`},
		{"empty list", `["http://127.0.0.1:8500"]`, `[]`, `s.hujson:3: platform.urls: list has 0 elements; write a list of 1 to 16 elements`},
		{"token instead of its hash", `"platform"`, `"operatorTokenHashes": ["secret"], "platform"`, `s.hujson:3: operatorTokenHashes[0]: "secret" is malformed; write SHA-256 as 64 lower-case hexadecimal digits`},
		{"host name instead of IP", `"platform"`, `"listen": {"http": "localhost:80"}, "platform"`, `s.hujson:3: listen.http: "localhost:80" is malformed; write IP:port`},
		{"unspecified address", `"platform"`, `"listen": {"peer": "0.0.0.0:8081"}, "platform"`, `s.hujson: advertise.peer: 0.0.0.0:8081 is no address that others can reach; write the host's own IP:port`},
		{"advertised port 0", `"platform"`, `"advertise": {"peer": "127.0.0.1:0"}, "platform"`, `s.hujson:3: advertise.peer: 127.0.0.1:0 is no address that others can reach; write the host's own IP:port`},
		{"certificate without key", `"platform"`, `"tls": {"http": {"certFile": "c.pem"}}, "platform"`, `s.hujson:3: tls.http: certFile and keyFile go together; set both or neither`},
		{"peer without CA file", `"platform"`, `"tls": {"peer": {"certFile": "c.pem", "keyFile": "k.pem"}}, "platform"`, `s.hujson: tls.peer.caFile: entry hosts check each other's certificates against caFile; name the file of the authority's certificates`},
		{"otlp without endpoint", `"platform"`, `"trace": {"exporter": "otlp"}, "platform"`, `s.hujson: trace.endpoint: exporter otlp needs an endpoint; write the collector's URL, such as http://192.0.2.9:4318/v1/traces`},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			text := strings.Replace(minimalSettings, c.old, c.replacement, 1)
			s, err := Parse("s.hujson", []byte(text))
			must.Nil(t, s)
			must.EqError(t, err, c.want)
			must.Eq(t, apierr.InvalidInput, apierr.KindOf(err))
		})
	}
}

func TestDescribe_NamesEveryFieldOfTheStruct(t *testing.T) {
	var b strings.Builder
	must.NoError(t, Describe(&b))
	s, err := Parse("s", []byte(minimalSettings))
	must.NoError(t, err)
	data, err := json.Marshal(s)
	must.NoError(t, err)
	tree := map[string]any{}
	must.NoError(t, json.Unmarshal(data, &tree))
	for _, path := range fieldPaths("", tree) {
		must.StrContains(t, b.String(), "\n"+path+" ", must.Sprintf("field %s", path))
	}
}

func fieldPaths(prefix string, tree map[string]any) []string {
	var out []string
	for name, value := range tree {
		path := prefix + name
		out = append(out, path)
		if sub, ok := value.(map[string]any); ok {
			out = append(out, fieldPaths(path+".", sub)...)
		}
	}
	return out
}

func FuzzParse(f *testing.F) {
	f.Add([]byte(minimalSettings))
	f.Add([]byte(strings.Replace(minimalSettings, `"platform"`, `"listen": {"http": "127.0.0.1:0"}, "platform"`, 1)))
	f.Add([]byte(`{"host": {"name": 1}, "timing": {"peerTimeoutMillis": -5}, /* open`))
	f.Fuzz(func(t *testing.T, data []byte) {
		s, err := Parse("f", data)
		if err != nil {
			must.Eq(t, "f", apierr.From(firstMistake(err)).File)
			return
		}
		text, err := json.Marshal(s)
		must.NoError(t, err)
		again, err := Parse("again", text)
		must.NoError(t, err)
		must.Eq(t, s, again)
	})
}

// firstMistake returns the first of err's details, or err if it has none.
func firstMistake(err error) error {
	if e := apierr.From(err); len(e.Details) > 0 {
		return e.Details[0]
	}
	return err
}
