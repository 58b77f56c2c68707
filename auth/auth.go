package auth

import (
	"context"
	"crypto/sha256"
	"crypto/subtle"
	"encoding/hex"
	"net/http"
	"strings"

	"github.com/VictoriaMetrics/metrics"
	"github.com/charmbracelet/log"

	"github.com/cyclamentray/cyclamentray/apierr"
	"github.com/cyclamentray/cyclamentray/internal/httpjson"
)

// Hash is the SHA-256 of a token.
type Hash [sha256.Size]byte

// HashToken returns the SHA-256 of a token in hexadecimal, the form that
// documents and settings use.
func HashToken(token string) string {
	sum := sha256.Sum256([]byte(token))
	return hex.EncodeToString(sum[:])
}

// ParseHash reads a hash of 64 hexadecimal digits; ok is false when it is malformed.
func ParseHash(s string) (h Hash, ok bool) {
	b, err := hex.DecodeString(s)
	if err != nil || len(b) != len(h) {
		return h, false
	}
	copy(h[:], b)
	return h, true
}

// Credential is the hash of a token and the identity that the token proves.
type Credential struct {
	Hash     Hash
	Identity Identity
}

// Options configure an Authenticator.
type Options struct {
	OperatorHashes []string            // SHA-256 in hexadecimal; malformed ones are ignored
	Credentials    func() []Credential // organisations' credentials in force; nil: none
	Public         []string            // paths served to anyone
	Logger         *log.Logger
	Metrics        *metrics.Set
}

// Authenticator determines who sent a request. It is safe for concurrent use.
type Authenticator struct {
	options   Options
	operators []Credential
	refused   *metrics.Counter
}

// New returns an Authenticator.
func New(o Options) *Authenticator {
	a := &Authenticator{options: o, refused: o.Metrics.GetOrCreateCounter("cyclamentray_auth_refused_total")}
	for _, s := range o.OperatorHashes {
		if h, ok := ParseHash(s); ok {
			a.operators = append(a.operators, Credential{Hash: h, Identity: Identity{Operator: true}})
		}
	}
	return a
}

// Authenticate returns the identity that a token proves. It compares the
// token's hash with every candidate in constant time, so that its duration does
// not reveal which hashes are close to it.
func (a *Authenticator) Authenticate(token string) (Identity, bool) {
	if token == "" { // a document may hold the hash of the empty token by mistake
		return Identity{}, false
	}
	sum := Hash(sha256.Sum256([]byte(token)))
	id, found := matchCredential(sum, a.operators)
	if a.options.Credentials == nil {
		return id, found
	}
	org, orgFound := matchCredential(sum, a.options.Credentials())
	if found {
		return id, true
	}
	return org, orgFound
}

func matchCredential(sum Hash, candidates []Credential) (Identity, bool) {
	matched := -1
	for i := range candidates {
		equal := subtle.ConstantTimeCompare(sum[:], candidates[i].Hash[:])
		matched = subtle.ConstantTimeSelect(equal, i, matched)
	}
	if matched < 0 {
		return Identity{}, false
	}
	return candidates[matched].Identity, true
}

// Middleware rejects requests without a valid token, and puts the sender's
// identity in the context of all others.
func (a *Authenticator) Middleware(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if a.isPublic(r.URL.Path) {
			next.ServeHTTP(w, r)
			return
		}
		id, ok := a.Authenticate(bearerToken(r))
		if !ok {
			a.rejectRequest(w, r)
			return
		}
		inner := r.WithContext(WithIdentity(r.Context(), id))
		next.ServeHTTP(w, inner)
		r.Pattern = inner.Pattern // outer middleware labels its metrics and spans by route
	})
}

func (a *Authenticator) isPublic(path string) bool {
	for _, p := range a.options.Public {
		if p == path {
			return true
		}
	}
	return false
}

func (a *Authenticator) rejectRequest(w http.ResponseWriter, r *http.Request) {
	a.refused.Inc()
	if a.options.Logger != nil {
		a.options.Logger.Warn("refused a request without a valid token", "from", r.RemoteAddr)
	}
	w.Header().Set("WWW-Authenticate", `Bearer realm="cyclamentray"`)
	httpjson.WriteError(w, errUnauthenticated())
}

func errUnauthenticated() *apierr.Error {
	return apierr.New(apierr.Unauthenticated, "no valid token", "send Authorization: Bearer TOKEN with a token of your organisation or an operator's")
}

// bearerToken returns the token of the Authorization header, or "".
func bearerToken(r *http.Request) string {
	scheme, token, _ := strings.Cut(r.Header.Get("Authorization"), " ")
	if !strings.EqualFold(scheme, "Bearer") {
		return ""
	}
	return strings.TrimSpace(token)
}

// RequireOperator returns a typed error unless the sender is an operator.
func RequireOperator(ctx context.Context) error {
	id, err := RequireIdentity(ctx)
	if err != nil {
		return err
	}
	if !id.Operator {
		return apierr.New(apierr.Forbidden, "only operators may do this", "use an operator's token")
	}
	return nil
}

// RequireIdentity returns the sender, or a typed error when there is none.
func RequireIdentity(ctx context.Context) (Identity, error) {
	id, ok := FromContext(ctx)
	if !ok {
		return Identity{}, errUnauthenticated()
	}
	return id, nil
}
