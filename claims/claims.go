// Package claims records the idempotency keys of non-idempotent requests, so
// that a key is executed at most once across entry hosts.
package claims
