package config

import (
	"bytes"
	"context"
	"encoding/json"
	"sync"

	"github.com/cockroachdb/errors"
	"golang.org/x/sync/errgroup"

	"github.com/cyclamentray/cyclamentray/kvstore"
)

const (
	headKey       = "cyclamentray/config/manifest"
	contentPrefix = "cyclamentray/config/content/"
	// maxRecentEdits is how many accepted edits the head remembers, for writers
	// whose answer was lost.
	maxRecentEdits = 8
	// maxParallelCalls bounds the reads in flight while a revision is fetched.
	maxParallelCalls = 8
)

// head is the one key that is ever swapped. It is small, since the freshness of
// a snapshot is confirmed by reading it.
type head struct {
	Revision uint64   `json:"revision"`
	Manifest string   `json:"manifest"` // hash of the manifest
	Edits    []string `json:"edits"`    // nonces of the last accepted edits, newest last
}

func (h head) includesEdit(nonce string) bool {
	for _, n := range h.Edits {
		if n == nonce {
			return true
		}
	}
	return false
}

// repository reads and writes configuration in the platform's store.
type repository struct{ store kvstore.Store }

// readHead reads the newest readHead and its entry's version; both are zero before the
// first edit.
func (a repository) readHead(ctx context.Context) (head, uint64, error) {
	entry, err := a.store.Get(ctx, headKey)
	if errors.Is(err, kvstore.ErrNotFound) {
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

func (a repository) swapHead(ctx context.Context, h head, version uint64) error {
	value, err := json.Marshal(h)
	if err != nil {
		return err
	}
	_, err = a.store.CompareAndSwap(ctx, headKey, value, version)
	return err
}

// readContent reads readContent by its reference.
func (a repository) readContent(ctx context.Context, reference string) ([]byte, error) {
	entry, err := a.store.Get(ctx, contentPrefix+reference)
	if err != nil {
		return nil, errors.Wrapf(err, "reading configuration content %s", reference)
	}
	if contentHash(entry.Value) != referenceHash(reference) {
		return nil, errors.Newf("configuration content %s is damaged", reference)
	}
	return entry.Value, nil
}

// writeContent writes content under its reference. What is there already is the same.
func (a repository) writeContent(ctx context.Context, reference string, content []byte) error {
	key := contentPrefix + reference
	_, err := a.store.CompareAndSwap(ctx, key, content, 0)
	if err == nil || errors.Is(err, kvstore.ErrConflict) {
		return nil
	}
	if errors.Is(err, kvstore.ErrAmbiguous) {
		entry, readErr := a.store.Get(ctx, key)
		if readErr == nil && bytes.Equal(entry.Value, content) {
			return nil
		}
	}
	return errors.Wrap(err, "writing configuration content")
}

// load reads the edition that h names. It reads only what known lacks.
func (a repository) load(ctx context.Context, h head, known *configuration) (*configuration, error) {
	if h.Revision == 0 {
		return emptyConfiguration(), nil
	}
	if h.Manifest == known.hash {
		return known, nil
	}
	raw, err := a.readContent(ctx, h.Manifest)
	if err != nil {
		return nil, err
	}
	var m manifest
	if err := json.Unmarshal(raw, &m); err != nil {
		return nil, errors.Wrap(err, "configuration manifest is damaged")
	}
	content, err := a.readDocuments(ctx, m, known)
	if err != nil {
		return nil, err
	}
	return assemble(m, content)
}

func (a repository) readDocuments(ctx context.Context, m manifest, known *configuration) (map[string][]byte, error) {
	var mu sync.Mutex
	content := make(map[string][]byte, len(m.Documents))
	g, ctx := errgroup.WithContext(ctx)
	g.SetLimit(maxParallelCalls)
	for _, reference := range m.Documents {
		hash := referenceHash(reference)
		if body, ok := known.content[hash]; ok {
			mu.Lock()
			content[hash] = body
			mu.Unlock()
			continue
		}
		g.Go(func() error {
			body, err := a.readContent(ctx, reference)
			mu.Lock()
			defer mu.Unlock()
			content[hash] = body
			return err
		})
	}
	return content, g.Wait()
}

// save writes the documents and the manifest of next that base lacks.
func (a repository) save(ctx context.Context, next, base *configuration) error {
	g, groupCtx := errgroup.WithContext(ctx)
	g.SetLimit(maxParallelCalls)
	for id, reference := range next.manifest.Documents {
		if base.manifest.Documents[id] != reference {
			g.Go(func() error { return a.writeContent(groupCtx, reference, next.content[referenceHash(reference)]) })
		}
	}
	if err := g.Wait(); err != nil {
		return err
	}
	raw, err := next.manifest.encode()
	if err != nil {
		return err
	}
	return a.writeContent(ctx, next.hash, raw)
}

// deleteReplaced deletes what next has put an end to. A reader that is still at base
// finds content missing, takes nothing, and reads the head again. A store that
// cannot delete keeps it all.
func (a repository) deleteReplaced(ctx context.Context, next, base *configuration) {
	store, ok := a.store.(kvstore.Deleter)
	if !ok {
		return
	}
	for _, reference := range append(next.droppedReferences(base), base.hash) {
		if reference != "" {
			_ = store.Delete(ctx, contentPrefix+reference) // at worst it stays
		}
	}
}
