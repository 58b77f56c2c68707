// Package peer provides the net/rpc client and server for calls between entry hosts
// and between the hosts of the batch scheduler. Every call has a deadline and a trace
// context, and both are sent to the serving side. A Pool keeps one connection per
// peer; a Server keeps its listeners and open connections. Each host creates one of
// each for the packages that call or serve peers.
package peer

import (
	"context"
	"crypto/tls"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/charmbracelet/log"
	"github.com/cockroachdb/errors"

	"github.com/cyclamentray/cyclamentray/internal/bytebudget"
	"github.com/cyclamentray/cyclamentray/internal/defaults"
)

// DefaultTimeout is the time limit for a call whose context has no deadline, and
// for a dial.
const DefaultTimeout = 2 * time.Second

// ErrNotSent is in the error chain of a call whose request was not sent.
var ErrNotSent = errors.New("peer: call not sent; it may be made again")

// Caller calls a method, such as "Config.Latest", of the entry host whose peer
// listener is at address. It returns an error when ctx ends first.
// Implementations are safe for concurrent use.
type Caller interface {
	Call(ctx context.Context, address, method string, args, reply any) error
}

// ContextSetter is implemented by argument types whose handlers need the context of
// the call. The server calls SetContext before the handler runs. The context carries
// the caller's trace and deadline and is cancelled when the caller's connection closes.
type ContextSetter interface {
	SetContext(ctx context.Context)
}

// Options configures a Server or a Pool. The zero value works without TLS.
type Options struct {
	Host     string        // name of this host, for spans; may be empty
	TLS      *tls.Config   // nil: plain TCP
	Timeout  time.Duration // of dials and of calls without a deadline; 0: DefaultTimeout
	Logger   *log.Logger
	Metrics  *metrics.Set
	Messages *bytebudget.Budget // of the messages that a Server reads at once; nil: no bound
}

func (o Options) withDefaults() Options {
	if o.Timeout <= 0 {
		o.Timeout = DefaultTimeout
	}
	o.Logger = defaults.Logger(o.Logger)
	o.Metrics = defaults.Metrics(o.Metrics)
	return o
}
