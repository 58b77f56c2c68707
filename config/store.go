package config

import (
	"bytes"
	"context"
	"encoding/json"
	"sync"

	"github.com/cockroachdb/errors"
	"golang.org/x/sync/errgroup"

	"github.com/cyclamentray/cyclamentray/platform"
)

const (
	headKey       = "cyclamentray/config/manifest"
	contentPrefix = "cyclamentray/config/content/"
	// recentEdits is how many accepted edits the head remembers, for writers
	// whose answer was lost.
	recentEdits = 8
	// fetchParallel bounds the reads in flight while a revision is fetched.
	fetchParallel = 8
)

// head is the one key that is ever swapped. It is small, since the freshness of
// a snapshot is confirmed by reading it.
type head struct {
	Revision uint64   `json:"revision"`
	Manifest string   `json:"manifest"` // hash of the manifest
	Edits    []string `json:"edits"`    // nonces of the last accepted edits, newest last
}

func (h head) accepted(nonce string) bool {
	for _, n := range h.Edits {
		if n == nonce {
			return true
		}
	}
	return false
}

// archive reads and writes configuration in the platform's store.
type archive struct{ store platform.Store }

// head reads the newest head and its entry's version; both are zero before the
// first edit.
func (a archive) head(ctx context.Context) (head, uint64, error) {
	entry, err := a.store.Get(ctx, headKey)
	if errors.Is(err, platform.ErrNotFound) {
		return head{}, 0, nil
	}
	if err != nil {
		return head{}, 0, errors.Wrap(err, "reading the configuration's revision")
	}
	var h head
	if err := json.Unmarshal(entry.Value, &h); err != nil {
		return head{}, 0, errors.Wrap(err, "configuration's revision is damaged")
	}
	return h, entry.Version, nil
}

func (a archive) swap(ctx context.Context, h head, version uint64) error {
	value, err := json.Marshal(h)
	if err != nil {
		return err
	}
	_, err = a.store.CompareAndSwap(ctx, headKey, value, version)
	return err
}

// content reads content by its hash.
func (a archive) content(ctx context.Context, hash string) ([]byte, error) {
	entry, err := a.store.Get(ctx, contentPrefix+hash)
	if err != nil {
		return nil, errors.Wrapf(err, "reading configuration content %s", hash)
	}
	if hashOf(entry.Value) != hash {
		return nil, errors.Newf("configuration content %s is damaged", hash)
	}
	return entry.Value, nil
}

// put writes content under its hash. Content that is there already is the same.
func (a archive) put(ctx context.Context, content []byte) error {
	key := contentPrefix + hashOf(content)
	_, err := a.store.CompareAndSwap(ctx, key, content, 0)
	if err == nil || errors.Is(err, platform.ErrConflict) {
		return nil
	}
	if errors.Is(err, platform.ErrAmbiguous) {
		entry, readErr := a.store.Get(ctx, key)
		if readErr == nil && bytes.Equal(entry.Value, content) {
			return nil
		}
	}
	return errors.Wrap(err, "writing configuration content")
}

// load reads the edition that h names. It reads only what known lacks.
func (a archive) load(ctx context.Context, h head, known *edition) (*edition, error) {
	if h.Revision == 0 {
		return emptyEdition(), nil
	}
	if h.Manifest == known.hash {
		return known, nil
	}
	raw, err := a.content(ctx, h.Manifest)
	if err != nil {
		return nil, err
	}
	var m manifest
	if err := json.Unmarshal(raw, &m); err != nil {
		return nil, errors.Wrap(err, "configuration manifest is damaged")
	}
	content, err := a.fetch(ctx, m, known)
	if err != nil {
		return nil, err
	}
	return assemble(m, content)
}

func (a archive) fetch(ctx context.Context, m manifest, known *edition) (map[string][]byte, error) {
	var mu sync.Mutex
	content := make(map[string][]byte, len(m.Documents))
	g, ctx := errgroup.WithContext(ctx)
	g.SetLimit(fetchParallel)
	for _, hash := range m.Documents {
		if body, ok := known.content[hash]; ok {
			mu.Lock()
			content[hash] = body
			mu.Unlock()
			continue
		}
		g.Go(func() error {
			body, err := a.content(ctx, hash)
			mu.Lock()
			defer mu.Unlock()
			content[hash] = body
			return err
		})
	}
	return content, g.Wait()
}

// save writes the documents and the manifest of next that base lacks.
func (a archive) save(ctx context.Context, next, base *edition) error {
	g, groupCtx := errgroup.WithContext(ctx)
	g.SetLimit(fetchParallel)
	for hash, body := range next.content {
		if _, ok := base.content[hash]; !ok {
			g.Go(func() error { return a.put(groupCtx, body) })
		}
	}
	if err := g.Wait(); err != nil {
		return err
	}
	raw, err := next.manifest.encode()
	if err != nil {
		return err
	}
	return a.put(ctx, raw)
}
