package config_test

import (
	"context"
	"net/http/httptest"
	"testing"

	"github.com/shoenig/test/must"

	"github.com/cyclamentray/cyclamentray/apierr"
	"github.com/cyclamentray/cyclamentray/config"
	"github.com/cyclamentray/cyclamentray/kvstore"
	"github.com/cyclamentray/cyclamentray/standin/kv"
)

func failureDomain(name string) config.Document {
	return config.Document{Kind: config.KindFailureDomain, FailureDomain: &config.FailureDomain{Name: name, Region: "north"}}
}

func organisation(name string) config.Document {
	return config.Document{Kind: config.KindOrganisation, Organisation: &config.Organisation{Name: name, Teams: []config.Team{{Name: "a"}}}}
}

func serviceDoc(name, org string) config.Document {
	return config.Document{Kind: config.KindService, Service: &config.Service{Name: name, Organisation: org, Team: "a"}}
}

func newStore(t *testing.T) (*kv.Server, kvstore.Store) {
	t.Helper()
	platform := kv.New()
	server := httptest.NewServer(platform)
	t.Cleanup(server.Close)
	return platform, kvstore.NewClient(server.URL)
}

func TestApplyAtOutdatedRevisionReturnsConflict(t *testing.T) {
	ctx := context.Background()
	_, store := newStore(t)
	e := config.NewEditor(config.EditorOptions{Store: store})
	first, err := e.Apply(ctx, []config.Document{failureDomain("n1")}, 0)
	must.NoError(t, err)
	must.Eq(t, 1, first)
	_, err = e.Apply(ctx, []config.Document{failureDomain("n2")}, 0)
	must.Eq(t, apierr.Conflict, apierr.KindOf(err))
	must.StrContains(t, err.Error(), "read the configuration again")
}

func TestRetiredServiceNameCannotBeReused(t *testing.T) {
	ctx := context.Background()
	_, store := newStore(t)
	d := config.NewDistributor(config.Options{Store: store})
	e := config.NewEditor(config.EditorOptions{Store: store, Distributor: d})
	_, err := e.Apply(ctx, []config.Document{organisation("o"), serviceDoc("s", "o")}, 0)
	must.NoError(t, err)
	revision, err := e.Retire(ctx, "s")
	must.NoError(t, err)
	again, err := e.Retire(ctx, "s")
	must.NoError(t, err)
	must.Eq(t, revision, again)
	snap, _ := d.Current()
	must.Eq(t, revision, snap.Retired["s"])
	must.MapNotContainsKey(t, snap.Services, "s")
	_, err = e.Apply(ctx, []config.Document{serviceDoc("s", "o")}, revision)
	must.Error(t, err)
	_, err = e.SetFailureDomain(ctx, "nowhere", true)
	must.Eq(t, apierr.NotFound, apierr.KindOf(err))
}

func TestUnreferencedContentIsDeleted(t *testing.T) {
	ctx := context.Background()
	server, store := newStore(t)
	e := config.NewEditor(config.EditorOptions{Store: store})
	revision, err := e.Apply(ctx, []config.Document{failureDomain("n1"), failureDomain("n2")}, 0)
	must.NoError(t, err)
	for n := range 6 { // the same document text is written repeatedly
		revision, err = e.SetFailureDomain(ctx, "n1", n%2 == 0)
		must.NoError(t, err)
	}
	must.Len(t, 4, server.Keys())                      // the head, the manifest and two documents
	again, err := e.SetFailureDomain(ctx, "n1", false) // reads all content and changes nothing
	must.NoError(t, err)
	must.Eq(t, revision, again)
}

// hookedDeleter is a store that calls before, once, ahead of its first deletion.
type hookedDeleter struct {
	*kvstore.Client
	before func()
}

func (s *hookedDeleter) Delete(ctx context.Context, key string) error {
	if s.before != nil {
		s.before()
		s.before = nil
	}
	return s.Client.Delete(ctx, key)
}

// An editor deletes the content that its edit replaced only once the edit is in force.
// If another editor has restored the same text by then, the deletion must not remove
// the restored document.
func TestLateDeletionKeepsRestoredDocument(t *testing.T) {
	ctx := context.Background()
	server := httptest.NewServer(kv.New())
	defer server.Close()
	store := kvstore.NewClient(server.URL)
	other := config.NewEditor(config.EditorOptions{Store: store})
	_, err := other.Apply(ctx, []config.Document{failureDomain("n1")}, 0)
	must.NoError(t, err)
	late := &hookedDeleter{Client: store, before: func() {
		_, err := other.SetFailureDomain(ctx, "n1", false) // the text of revision 1
		must.NoError(t, err)
	}}
	_, err = config.NewEditor(config.EditorOptions{Store: late}).SetFailureDomain(ctx, "n1", true)
	must.NoError(t, err)
	again, err := other.SetFailureDomain(ctx, "n1", false)
	must.NoError(t, err) // every document can still be read
	must.Eq(t, 3, again)
}
