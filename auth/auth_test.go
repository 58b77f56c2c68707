package auth

import (
	"io"
	"net/http"
	"net/http/httptest"
	"testing"

	"github.com/VictoriaMetrics/metrics"
	"github.com/charmbracelet/log"
	"github.com/shoenig/test/must"

	"github.com/cyclamentray/cyclamentray/apierr"
)

func credential(t *testing.T, token, organisation string) Credential {
	h, ok := ParseHash(HashToken(token))
	must.True(t, ok)
	return Credential{Hash: h, Identity: Identity{Organisation: organisation}}
}

func newAuthenticator(t *testing.T) *Authenticator {
	// The empty token must be rejected even if a document holds its hash.
	list := []Credential{credential(t, "tok-pwani", "pwani"), credential(t, "tok-ziwa", "ziwa"), credential(t, "", "nobody")}
	return New(Options{
		OperatorHashes: []string{HashToken("tok-op"), "malformed"},
		Credentials:    func() []Credential { return list },
		Public:         []string{"/healthz"},
		Logger:         log.New(io.Discard),
		Metrics:        metrics.NewSet(),
	})
}

func TestMiddleware_AuthenticatesBearerTokens(t *testing.T) {
	cases := []struct {
		header string
		path   string
		status int
		want   Identity
	}{
		{"Bearer tok-op", "/x", 200, Identity{Operator: true}},
		{"bearer tok-pwani", "/x", 200, Identity{Organisation: "pwani"}},
		{"Bearer tok-ziwa", "/x", 200, Identity{Organisation: "ziwa"}},
		{"Bearer tok-ziw", "/x", 401, Identity{}},
		{"Bearer " + HashToken("tok-op"), "/x", 401, Identity{}},
		{"Basic tok-op", "/x", 401, Identity{}},
		{"Bearer ", "/x", 401, Identity{}},
		{"", "/x", 401, Identity{}},
		{"", "/healthz", 200, Identity{}},
		{"", "/healthz/../x", 401, Identity{}},
	}
	a := newAuthenticator(t)
	unauthorizedBodies := map[string]bool{}
	for _, c := range cases {
		var got Identity
		inner := http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) { got, _ = FromContext(r.Context()) })
		w := httptest.NewRecorder()
		r := httptest.NewRequest("GET", c.path, nil)
		r.Header.Set("Authorization", c.header)
		a.Middleware(inner).ServeHTTP(w, r)
		must.Eq(t, c.status, w.Code, must.Sprintf("%q %s", c.header, c.path))
		must.Eq(t, c.want, got)
		if w.Code == 401 {
			unauthorizedBodies[w.Body.String()] = true
		}
	}
	must.MapLen(t, 1, unauthorizedBodies, must.Sprint("all 401 responses must have the same body"))
}

func TestRequireOperator(t *testing.T) {
	ctx := t.Context()
	must.Eq(t, apierr.Unauthenticated, apierr.KindOf(RequireOperator(ctx)))
	must.Eq(t, apierr.Forbidden, apierr.KindOf(RequireOperator(WithIdentity(ctx, Identity{Organisation: "pwani"}))))
	must.NoError(t, RequireOperator(WithIdentity(ctx, Identity{Operator: true})))
}

func TestIdentity_MaySee(t *testing.T) {
	must.True(t, Identity{Operator: true}.MaySee("pwani"))
	must.True(t, Identity{Organisation: "pwani"}.MaySee("pwani"))
	must.False(t, Identity{Organisation: "pwani"}.MaySee("ziwa"))
	must.False(t, Identity{}.MaySee(""))
}
