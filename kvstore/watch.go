package kvstore

import (
	"context"
	"net/http"
	"strconv"

	"github.com/cockroachdb/errors"
)

// Watch implements Store. If the entry at version after is cached, the watch asks
// the store only for the key's version, since the value may be long. The value is
// read if the version changed; otherwise the cached entry is returned.
func (g *Guard) Watch(ctx context.Context, key string, after uint64) (Entry, error) {
	cached, found := g.cachedEntry(key, after)
	if !found {
		return g.watchValue(ctx, key, after)
	}
	var index uint64
	err := g.do(ctx, watchKind, storeWatchWait+watchGrace, func(ctx context.Context) (err error) {
		index, err = g.client.watchIndex(ctx, key, after)
		return err
	})
	if err != nil || index == after {
		return cached, err
	}
	e, err := g.Get(Urgent(ctx), key)
	if errors.Is(err, ErrNotFound) {
		e, err = Entry{Key: key}, nil
	}
	if err == nil {
		g.cacheEntry(e)
	}
	return e, err
}

// watchValue watches a key whose entry at version after is not cached.
func (g *Guard) watchValue(ctx context.Context, key string, after uint64) (e Entry, err error) {
	err = g.do(ctx, watchKind, storeWatchWait+watchGrace, func(ctx context.Context) error {
		e, err = g.client.Watch(ctx, key, after)
		return err
	})
	if err == nil {
		g.cacheEntry(e)
	}
	return e, err
}

// cachedEntry returns the cached entry of a key if it is at version.
func (g *Guard) cachedEntry(key string, version uint64) (Entry, bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	e, found := g.watchCache[key]
	return e, found && e.Version == version
}

func (g *Guard) cacheEntry(e Entry) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.watchCache[e.Key] = e
}

// watchIndex waits until the key's version differs from after or the store's
// wait ends, and returns the version then; 0: the key does not exist.
func (c *Client) watchIndex(ctx context.Context, key string, after uint64) (uint64, error) {
	query := watchQuery(ctx, after)
	query.Set("keys", "")
	status, header, _, err := c.callWithHeader(ctx, http.MethodGet, "/v1/kv/"+key, query, nil)
	switch {
	case err != nil:
		return 0, failure(ErrUnavailable, err)
	case status == http.StatusNotFound:
		return 0, nil
	case status != http.StatusOK:
		return 0, failure(ErrUnavailable, errors.Newf("watch of %s: status %d", key, status))
	}
	index, err := strconv.ParseUint(header.Get("X-Consul-Index"), 10, 64)
	return index, failure(ErrUnavailable, err)
}
