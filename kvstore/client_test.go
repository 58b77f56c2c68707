package kvstore_test

import (
	"context"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/cyclamentray/cyclamentray/kvstore"
	"github.com/cyclamentray/cyclamentray/standin/kv"
)

func TestClientSwapsOnlyTheExpectedVersion(t *testing.T) {
	server := httptest.NewServer(kv.New())
	defer server.Close()
	c := kvstore.NewClient(server.URL)
	ctx := context.Background()

	_, err := c.Get(ctx, "a")
	must.ErrorIs(t, err, kvstore.ErrNotFound)
	first, err := c.CompareAndSwap(ctx, "a", []byte("1"), 0)
	must.NoError(t, err)
	_, err = c.CompareAndSwap(ctx, "a", []byte("2"), 0)
	must.ErrorIs(t, err, kvstore.ErrConflict)
	second, err := c.CompareAndSwap(ctx, "a", []byte("2"), first.Version)
	must.NoError(t, err)
	must.Greater(t, first.Version, second.Version)
	got, err := c.Get(ctx, "a")
	must.NoError(t, err)
	must.Eq(t, "2", string(got.Value))
}

func TestClientLeaseExcludesOtherHolders(t *testing.T) {
	server := httptest.NewServer(kv.New())
	defer server.Close()
	c := kvstore.NewClient(server.URL)
	ctx := context.Background()

	one, err := c.Grant(ctx, time.Minute)
	must.NoError(t, err)
	two, err := c.Grant(ctx, time.Minute)
	must.NoError(t, err)
	first, err := c.Acquire(ctx, "term", nil, one)
	must.NoError(t, err)
	_, err = c.Acquire(ctx, "term", nil, two)
	must.ErrorIs(t, err, kvstore.ErrHeld)
	must.NoError(t, c.Revoke(ctx, one))
	must.ErrorIs(t, c.Renew(ctx, one), kvstore.ErrLeaseLost)
	second, err := c.Acquire(ctx, "term", nil, two)
	must.NoError(t, err)
	must.Greater(t, first.Version, second.Version)
}

func TestClientFailsOverToTheNextURL(t *testing.T) {
	server := httptest.NewServer(kv.New())
	defer server.Close()
	gone := httptest.NewServer(kv.New())
	gone.Close()
	c := kvstore.NewClient(gone.URL, server.URL)
	_, err := c.Get(context.Background(), "a")
	must.ErrorIs(t, err, kvstore.ErrUnavailable)
	_, err = c.Get(context.Background(), "a")
	must.ErrorIs(t, err, kvstore.ErrNotFound)
}
