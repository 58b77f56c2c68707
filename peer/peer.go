// Package peer carries net/rpc calls between entry hosts. Every call has a
// deadline and a trace context.
package peer

import (
	"context"
	"crypto/tls"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/charmbracelet/log"
	"github.com/cockroachdb/errors"

	"github.com/cyclamentray/cyclamentray/internal/defaults"
)

// DefaultTimeout bounds a call whose context has no deadline.
const DefaultTimeout = 2 * time.Second

// ErrNotSent is in the chain of a call's error when nothing was sent.
var ErrNotSent = errors.New("peer: call not sent; it may be made again")

// Caller calls a method, such as "Config.Latest", of the entry host whose peer
// listener is at address. It returns an error when ctx ends first.
// Implementations are safe for concurrent use.
type Caller interface {
	Call(ctx context.Context, address, method string, args, reply any) error
}

// ContextSetter is implemented by arguments that want the context of their call
// on the serving side: it carries the caller's trace and deadline, and ends
// when the caller's connection does.
type ContextSetter interface {
	SetContext(ctx context.Context)
}

// Options configures a Server or a Pool. The zero value works without TLS.
type Options struct {
	Host    string      // name of this host, for spans; empty: not told
	TLS     *tls.Config // nil: plain TCP
	Timeout time.Duration
	Logger  *log.Logger
	Metrics *metrics.Set
}

func (o Options) withDefaults() Options {
	if o.Timeout <= 0 {
		o.Timeout = DefaultTimeout
	}
	o.Logger = defaults.Logger(o.Logger)
	o.Metrics = defaults.Metrics(o.Metrics)
	return o
}
