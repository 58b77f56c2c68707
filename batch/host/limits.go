package host

import (
	"net/http"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/charmbracelet/log"

	"github.com/cyclamentray/cyclamentray/internal/bytebudget"
	"github.com/cyclamentray/cyclamentray/internal/connlimit"
	"github.com/cyclamentray/cyclamentray/internal/seldom"
)

const (
	// readTimeout limits the time to read one request. Callers wait for 3 s in all.
	readTimeout = 10 * time.Second

	// writeTimeout limits the time from a request's header to the end of its answer. It is
	// longer than the platform's handler takes for the most patient caller.
	writeTimeout = time.Minute

	// minConnWait is how long a connection may wait for its request before it can be closed
	// for a new one: a few round trips within a region.
	minConnWait = 100 * time.Millisecond

	// maxHeaderBytes is the size of a request's header, beyond what net/http adds. Requests
	// to a host have a path, a key and a few short fields.
	maxHeaderBytes = 8 << 10

	// refusalLogInterval is the time between two log lines on refusals of one kind.
	refusalLogInterval = 10 * time.Second
)

// The shares of a process's limits that requests may use.
const (
	defaultMemoryMB = 128
	defaultMaxFDs   = 1024
	fileFDs         = 200 // of the descriptors, kept for files

	bodyMemoryShare = 16       // one part in so many of the memory: bodies of callers, and messages of peers
	connMemoryShare = 4        // the same: connections of callers, and of peers
	connBytes       = 64 << 10 // of one connection: its buffers, and bytes that were received and not read yet
	connFDShare     = 4        // one part in so many of the descriptors for sockets: connections of callers, and of peers

	maxProbeConns   = 64 // to the readiness endpoint
	maxMetricsConns = 16
)

// Limits bounds what requests may use of the process's memory and descriptors.
type Limits struct {
	APIConns, PeerConns     int
	BodyBytes, MessageBytes int64 // of all bodies, and all messages of peers, that are being read or served
}

// LimitsFor returns the limits for a process that may use memoryMB of memory and maxFDs
// descriptors; 0: not known.
func LimitsFor(memoryMB int64, maxFDs int) Limits {
	if memoryMB <= 0 {
		memoryMB = defaultMemoryMB
	}
	if maxFDs <= fileFDs {
		maxFDs = defaultMaxFDs
	}
	memory := memoryMB << 20
	conns := min((maxFDs-fileFDs)/connFDShare, int(memory/connMemoryShare/connBytes))
	return Limits{APIConns: conns, PeerConns: conns, BodyBytes: memory / bodyMemoryShare, MessageBytes: memory / bodyMemoryShare}
}

// newServer returns an HTTP server with limits for each request.
func newServer(handler http.Handler) *http.Server {
	return &http.Server{
		Handler: connlimit.TrackRequests(handler), ConnContext: connlimit.ConnContext, ConnState: connlimit.ConnState,
		ReadHeaderTimeout: readHeaderTimeout, ReadTimeout: readTimeout, WriteTimeout: writeTimeout, IdleTimeout: idleTimeout, MaxHeaderBytes: maxHeaderBytes,
	}
}

// refusals counts and logs what is refused for one limit.
type refusals struct {
	what    string
	counter *metrics.Counter
	log     *log.Logger
	line    seldom.Line
}

func newRefusals(what string, set *metrics.Set, logger *log.Logger) *refusals {
	return &refusals{
		what: what, counter: set.GetOrCreateCounter(`cyclamentray_batch_limited_total{what="` + what + `"}`),
		log: logger, line: seldom.Line{Interval: refusalLogInterval},
	}
}

// record counts one refusal. At most one line is logged in refusalLogInterval.
func (r *refusals) record() {
	r.counter.Inc()
	if r.line.Due() {
		r.log.Warn("limit reached", "what", r.what, "total", r.counter.Get())
	}
}

// newBudget returns a budget of bytes whose refusals are counted.
func newBudget(bytes int64, r *refusals) *bytebudget.Budget {
	return bytebudget.New(bytes, r.record)
}
