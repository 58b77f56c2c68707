package routing

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"net/textproto"
	"slices"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/cyclamentray/cyclamentray/apierr"
	"github.com/cyclamentray/cyclamentray/config"
)

const (
	maxBodyBytes          = 1 << 20  // of one request
	maxTotalBodyBytes     = 48 << 20 // of all requests in progress
	defaultRequestTimeout = 30 * time.Second

	// headerOrganisation carries the name of the calling organisation to the upstream.
	headerOrganisation = "Cyclamentray-Organisation"
	headerPrefix       = "Cyclamentray-"
)

// safeMethods are treated as idempotent when the service's document names none.
var safeMethods = []string{http.MethodGet, http.MethodHead, http.MethodOptions}

// hopByHopHeaders apply to a single connection and are not forwarded.
var hopByHopHeaders = []string{
	"Connection", "Proxy-Connection", "Keep-Alive", "Proxy-Authenticate",
	"Proxy-Authorization", "Te", "Trailer", "Transfer-Encoding", "Upgrade",
}

// call is a caller's request. Its body is read completely before it is sent, so
// that a slow caller occupies no slot.
type call struct {
	organisation   string
	service        config.Service
	method         string
	target         string // escaped path and query at the upstream
	header         http.Header
	body           []byte
	deadline       time.Time
	idempotent     bool
	idempotencyKey string // empty: none
}

// reserveBody reserves memory for a request's body. It returns the number of
// bytes to release afterwards; ok is false when maxTotalBodyBytes is reached.
func (r *Router) reserveBody(req *http.Request) (n int64, ok bool) {
	n = req.ContentLength
	if n < 0 || n > maxBodyBytes {
		n = maxBodyBytes
	}
	if r.bodyBytes.Add(n) > maxTotalBodyBytes {
		r.bodyBytes.Add(-n)
		return 0, false
	}
	return n, true
}

// readCall reads a request whose caller is authorised to call the service s.
func readCall(req *http.Request, organisation string, s config.Service, now time.Time) (*call, *apierr.Error) {
	body, err := io.ReadAll(io.LimitReader(req.Body, maxBodyBytes+1))
	if err != nil {
		return nil, apierr.Invalid("body", "the request's body could not be read completely", "send it again")
	}
	if len(body) > maxBodyBytes {
		return nil, apierr.New(apierr.TooLarge, "the request's body is larger than 1 MiB", "send less at once")
	}
	timeout := s.Requests.Timeout()
	if timeout <= 0 {
		timeout = defaultRequestTimeout
	}
	c := &call{
		organisation:   organisation,
		service:        s,
		method:         req.Method,
		target:         upstreamTarget(req),
		header:         forwardHeader(req.Header, organisation),
		body:           body,
		deadline:       now.Add(timeout),
		idempotent:     isIdempotent(req.Method, s.Requests),
		idempotencyKey: req.Header.Get(HeaderIdempotencyKey),
	}
	return c, nil
}

// isIdempotent reports whether requests with the method may be sent again.
func isIdempotent(method string, r *config.Requests) bool {
	if len(r.IdempotentMethods) == 0 {
		return slices.Contains(safeMethods, method)
	}
	return slices.Contains(r.IdempotentMethods, method)
}

// upstreamTarget returns the escaped path after /v1/services/{service}/requests,
// with the query.
func upstreamTarget(req *http.Request) string {
	const segmentsBefore = 5 // "", v1, services, {service}, requests
	parts := strings.SplitN(req.URL.EscapedPath(), "/", segmentsBefore+1)
	path := "/" + parts[len(parts)-1]
	if req.URL.RawQuery != "" {
		path += "?" + req.URL.RawQuery
	}
	return path
}

// forwardHeader returns the header to send to the upstream: the caller's header
// with headerOrganisation set. It omits hop-by-hop fields, Authorization (the
// caller's token), Expect, and the Cyclamentray- fields, which only entry hosts
// set in requests.
func forwardHeader(in http.Header, organisation string) http.Header {
	out := endToEndHeader(in)
	out.Del("Authorization")
	out.Del("Expect")
	out.Set(headerOrganisation, organisation)
	return out
}

// endToEndHeader copies a header without hop-by-hop and Cyclamentray- fields.
func endToEndHeader(in http.Header) http.Header {
	out := in.Clone()
	for _, list := range in["Connection"] {
		for name := range strings.SplitSeq(list, ",") {
			out.Del(textproto.TrimString(name))
		}
	}
	for _, name := range hopByHopHeaders {
		out.Del(name)
	}
	for name := range out {
		if strings.HasPrefix(name, headerPrefix) {
			out.Del(name)
		}
	}
	return out
}

// fingerprint hashes method, target and body, to detect that an idempotency key
// is reused for a different request.
func (c *call) fingerprint() uint64 {
	h := xxhash.New()
	_, _ = h.WriteString(c.method + " " + c.target + "\n")
	_, _ = h.Write(c.body)
	return h.Sum64()
}

// upstreamRequest builds the HTTP request to the upstream at address.
func (c *call) upstreamRequest(ctx context.Context, address string) (*http.Request, error) {
	out, err := http.NewRequestWithContext(ctx, c.method, "http://"+address+c.target, bytes.NewReader(c.body))
	if err != nil {
		return nil, err
	}
	out.Header = c.header.Clone()
	if len(c.body) == 0 {
		out.Body = http.NoBody
	}
	return out, nil
}
