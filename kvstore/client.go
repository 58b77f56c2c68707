package kvstore

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/http/httptrace"
	"net/url"
	"strconv"
	"strings"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/cyclamentray/cyclamentray/telemetry"
)

const (
	storeWatchWait     = 10 * time.Second // longest time for which the store is asked to hold a watch open
	maxResponseBytes   = 4 << 20
	maxIdleConnections = 8
)

// Client calls the platform's HTTP API, without retries, budget or call
// timeouts; Guard adds those. It is safe for concurrent use.
type Client struct {
	baseURLs []string
	current  atomic.Uint32 // index of the URL in use, modulo their number
	http     *http.Client
}

// NewClient returns a client of the platform at any of the base URLs, such as
// "http://127.0.0.1:8500". After a call that got no answer or a status of 500 or
// above, later calls use the next URL.
func NewClient(baseURLs ...string) *Client { return newClient(newTransport(), baseURLs...) }

func newTransport() *http.Transport {
	return &http.Transport{MaxIdleConnsPerHost: maxIdleConnections, DisableCompression: true}
}

func newClient(transport *http.Transport, baseURLs ...string) *Client {
	c := &Client{http: &http.Client{Transport: telemetry.Transport(transport, "platform")}}
	for _, baseURL := range baseURLs {
		c.baseURLs = append(c.baseURLs, strings.TrimSuffix(baseURL, "/"))
	}
	return c
}

var _ Store = (*Client)(nil)
var _ HostLister = (*Client)(nil)

// pair is the platform's JSON form of an Entry.
type pair struct {
	Key         string
	Value       []byte
	ModifyIndex uint64
	Session     string
	Flags       uint64
}

func (p pair) entry() Entry {
	return Entry{Key: p.Key, Value: p.Value, Version: p.ModifyIndex, Lease: p.Session, Nonce: p.Flags}
}

// Get implements Store.
func (c *Client) Get(ctx context.Context, key string) (Entry, error) {
	query := url.Values{}
	query.Set("consistent", "") // never an answer from a stale replica
	e, err := c.readEntry(ctx, key, query)
	if err != nil {
		return Entry{}, err
	}
	if e.Version == 0 {
		return Entry{}, ErrNotFound
	}
	return e, nil
}

// Watch implements Store.
func (c *Client) Watch(ctx context.Context, key string, after uint64) (Entry, error) {
	return c.readEntry(ctx, key, watchQuery(ctx, after))
}

// watchQuery returns the query of a watch. Its wait is at most 3/4 of the time
// that ctx has left: if ctx ended first, the connection would be closed instead
// of reused.
func watchQuery(ctx context.Context, after uint64) url.Values {
	wait := storeWatchWait
	if deadline, ok := ctx.Deadline(); ok {
		wait = min(wait, time.Until(deadline)*3/4)
	}
	query := url.Values{}
	query.Set("index", strconv.FormatUint(after, 10))
	query.Set("wait", wait.Round(time.Millisecond).String())
	return query
}

func (c *Client) readEntry(ctx context.Context, key string, query url.Values) (Entry, error) {
	status, body, err := c.call(ctx, http.MethodGet, "/v1/kv/"+key, query, nil)
	if err != nil {
		return Entry{}, failure(ErrUnavailable, err)
	}
	if status == http.StatusNotFound {
		return Entry{Key: key}, nil
	}
	if status != http.StatusOK {
		return Entry{}, failure(ErrUnavailable, errors.Newf("read of %s: status %d", key, status))
	}
	var pairs []pair
	if err := json.Unmarshal(body, &pairs); err != nil || len(pairs) != 1 {
		return Entry{}, failure(ErrUnavailable, errors.Newf("read of %s: malformed response", key))
	}
	return pairs[0].entry(), nil
}

// CompareAndSwap implements Store.
func (c *Client) CompareAndSwap(ctx context.Context, key string, value []byte, version uint64) (Entry, error) {
	return c.compareAndSwap(ctx, key, value, version, newNonce())
}

// compareAndSwap is CompareAndSwap with a nonce of the caller, which is stored with
// the value.
func (c *Client) compareAndSwap(ctx context.Context, key string, value []byte, version, nonce uint64) (Entry, error) {
	query := url.Values{}
	query.Set("cas", strconv.FormatUint(version, 10))
	query.Set("flags", strconv.FormatUint(nonce, 10))
	e, err := c.writeEntry(ctx, key, value, query, "", ErrConflict)
	e.Nonce = nonce
	return e, err
}

// Acquire implements Store.
func (c *Client) Acquire(ctx context.Context, key string, value []byte, lease Lease) (Entry, error) {
	query := url.Values{}
	query.Set("acquire", lease.ID)
	return c.writeEntry(ctx, key, value, query, lease.ID, ErrHeld)
}

// writeEntry sends one PUT and returns refusedErr if the store declines it.
func (c *Client) writeEntry(ctx context.Context, key string, value []byte, query url.Values, leaseID string, refusedErr error) (Entry, error) {
	status, header, body, err := c.callWithHeader(ctx, http.MethodPut, "/v1/kv/"+key, query, value)
	switch {
	case errors.Is(err, errNotSent):
		return Entry{}, failure(ErrUnavailable, err)
	case err != nil:
		return Entry{}, failure(ErrAmbiguous, err)
	case status >= http.StatusInternalServerError: // the write may have been applied
		return Entry{}, failure(ErrAmbiguous, errors.Newf("write of %s: status %d", key, status))
	case status != http.StatusOK:
		return Entry{}, errors.Newf("write of %s refused: status %d; check the size of the value and the platform's limits", key, status)
	}
	if strings.TrimSpace(string(body)) != "true" {
		return Entry{}, refusedErr
	}
	version, err := strconv.ParseUint(header.Get("X-Consul-Index"), 10, 64)
	if err != nil {
		return Entry{}, failure(ErrAmbiguous, err)
	}
	return Entry{Key: key, Value: value, Version: version, Lease: leaseID}, nil
}

// Delete implements Deleter.
func (c *Client) Delete(ctx context.Context, key string) error {
	status, _, err := c.call(ctx, http.MethodDelete, "/v1/kv/"+key, nil, nil)
	if err != nil || status != http.StatusOK {
		return failure(ErrUnavailable, errors.Newf("deletion of %s: status %d: %v", key, status, err))
	}
	return nil
}

// sessionRequest is the platform's JSON form of a request for a lease, which the
// platform calls a session.
type sessionRequest struct {
	TTL       string
	LockDelay string
	Behavior  string
}

// Grant implements Store.
func (c *Client) Grant(ctx context.Context, ttl time.Duration) (Lease, error) {
	request, err := json.Marshal(sessionRequest{TTL: ttl.String(), LockDelay: "0s", Behavior: "release"})
	if err != nil {
		return Lease{}, err
	}
	status, body, err := c.call(ctx, http.MethodPut, "/v1/session/create", nil, request)
	if err != nil || status != http.StatusOK {
		return Lease{}, failure(ErrUnavailable, errors.Newf("lease grant: status %d: %v", status, err))
	}
	var reply struct{ ID string }
	if err := json.Unmarshal(body, &reply); err != nil {
		return Lease{}, failure(ErrUnavailable, err)
	}
	return Lease{ID: reply.ID, TTL: ttl}, nil
}

// Renew implements Store.
func (c *Client) Renew(ctx context.Context, lease Lease) error {
	status, _, err := c.call(ctx, http.MethodPut, "/v1/session/renew/"+lease.ID, nil, nil)
	switch {
	case err != nil:
		return failure(ErrUnavailable, err)
	case status == http.StatusNotFound:
		return ErrLeaseLost
	case status != http.StatusOK:
		return failure(ErrUnavailable, errors.Newf("lease renewal: status %d", status))
	}
	return nil
}

// Revoke implements Store.
func (c *Client) Revoke(ctx context.Context, lease Lease) error {
	status, _, err := c.call(ctx, http.MethodPut, "/v1/session/destroy/"+lease.ID, nil, nil)
	if err != nil || status != http.StatusOK {
		return failure(ErrUnavailable, errors.Newf("lease revocation: status %d: %v", status, err))
	}
	return nil
}

// Hosts implements HostLister.
func (c *Client) Hosts(ctx context.Context) ([]Host, error) {
	hosts, _, err := c.listHosts(ctx, nil)
	return hosts, err
}

// WatchHosts implements HostWatcher.
func (c *Client) WatchHosts(ctx context.Context, after uint64) ([]Host, uint64, error) {
	return c.listHosts(ctx, watchQuery(ctx, after))
}

func (c *Client) listHosts(ctx context.Context, query url.Values) ([]Host, uint64, error) {
	status, header, body, err := c.callWithHeader(ctx, http.MethodGet, "/v1/hosts", query, nil)
	if err != nil || (status != http.StatusOK && status != http.StatusNotModified) {
		return nil, 0, failure(ErrUnavailable, errors.Newf("host list: status %d: %v", status, err))
	}
	index, _ := strconv.ParseUint(header.Get("X-Consul-Index"), 10, 64)
	if status == http.StatusNotModified {
		return nil, index, nil
	}
	var hosts []Host
	if err := json.Unmarshal(body, &hosts); err != nil {
		return nil, 0, failure(ErrUnavailable, err)
	}
	return hosts, index, nil
}

// errNotSent marks a call that failed before it got a connection, so the store
// cannot have received it.
var errNotSent = errors.New("call not sent")

func (c *Client) call(ctx context.Context, method, path string, query url.Values, body []byte) (int, []byte, error) {
	status, _, responseBody, err := c.callWithHeader(ctx, method, path, query, body)
	return status, responseBody, err
}

// callWithHeader sends a request to the URL in use and switches to the next URL
// if it gets no answer or a status of 500 or above.
func (c *Client) callWithHeader(ctx context.Context, method, path string, query url.Values, body []byte) (int, http.Header, []byte, error) {
	if len(c.baseURLs) == 0 {
		return 0, nil, nil, errors.New("no platform URL configured; set platform.urls")
	}
	index := c.current.Load()
	target := c.baseURLs[int(index)%len(c.baseURLs)] + path
	if len(query) > 0 {
		target += "?" + query.Encode()
	}
	status, header, responseBody, err := c.exchange(ctx, method, target, body)
	if err != nil || status >= http.StatusInternalServerError {
		c.current.CompareAndSwap(index, index+1)
	}
	return status, header, responseBody, err
}

// exchange sends one HTTP request and reads the response, up to maxResponseBytes.
func (c *Client) exchange(ctx context.Context, method, target string, body []byte) (int, http.Header, []byte, error) {
	var connected atomic.Bool
	ctx = httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		GotConn: func(httptrace.GotConnInfo) { connected.Store(true) },
	})
	req, err := http.NewRequestWithContext(ctx, method, target, bytes.NewReader(body))
	if err != nil {
		return 0, nil, nil, err
	}
	req.Header.Set("User-Agent", "") // saves bytes; there are many small calls
	resp, err := c.http.Do(req)
	if err != nil {
		if !connected.Load() {
			err = failure(errNotSent, err)
		}
		return 0, nil, nil, err
	}
	defer resp.Body.Close()
	responseBody, err := io.ReadAll(io.LimitReader(resp.Body, maxResponseBytes))
	if err != nil {
		return 0, nil, nil, fmt.Errorf("reading the platform's response: %w", err)
	}
	return resp.StatusCode, resp.Header, responseBody, nil
}
