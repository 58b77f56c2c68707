// Package auth authenticates requests by bearer token and connections by TLS
// certificate. An Authenticator holds the hashes of operators' tokens and reads
// those of organisations from Options.Credentials; Keys hold the certificates of one
// listener and reload them from files. The entry host installs both; the HTTP
// handlers of other packages read the sender's Identity from the context.
package auth

import "context"

// Identity is the authenticated sender of a request.
type Identity struct {
	Organisation string // empty for an operator
	Operator     bool
}

// MaySee reports whether the sender may see what belongs to organisation.
func (i Identity) MaySee(organisation string) bool {
	return i.Operator || (i.Organisation != "" && i.Organisation == organisation)
}

type identityKey struct{}

// WithIdentity returns ctx carrying the sender's identity.
func WithIdentity(ctx context.Context, id Identity) context.Context {
	return context.WithValue(ctx, identityKey{}, id)
}

// FromContext returns the sender's identity; ok is false when none was set.
func FromContext(ctx context.Context) (id Identity, ok bool) {
	id, ok = ctx.Value(identityKey{}).(Identity)
	return id, ok
}
