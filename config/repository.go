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
	headKey       = "cyclamentray/config/manifest" // holds the head; a manifest is stored as content
	contentPrefix = "cyclamentray/config/content/"
	// maxRecentEdits is the number of accepted edits that the head lists, so that an
	// editor whose answer was lost can see whether its edit was accepted.
	maxRecentEdits = 8
	// maxParallelCalls bounds the calls in flight while a revision is read or
	// written.
	maxParallelCalls = 8
)

// head is the value of the one key that changes with every edit; other keys are only
// created and deleted. It is small, since hosts confirm the freshness of their
// snapshot by reading it.
type head struct {
	Revision uint64   `json:"revision"`
	Manifest string   `json:"manifest"` // hash of the manifest
	Edits    []string `json:"edits"`    // nonces of the last accepted edits, newest last
}

// includesEdit reports whether the head lists the edit with a nonce.
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

// readHead reads the head and its entry's version; both are zero before the first
// edit.
func (r repository) readHead(ctx context.Context) (head, uint64, error) {
	entry, err := r.store.Get(ctx, headKey)
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

// swapHead replaces the head if its entry is at version.
func (r repository) swapHead(ctx context.Context, h head, version uint64) error {
	value, err := json.Marshal(h)
	if err != nil {
		return err
	}
	_, err = r.store.CompareAndSwap(ctx, headKey, value, version)
	return err
}

// readContent reads content by its reference and verifies its hash.
func (r repository) readContent(ctx context.Context, reference string) ([]byte, error) {
	entry, err := r.store.Get(ctx, contentPrefix+reference)
	if err != nil {
		return nil, errors.Wrapf(err, "reading configuration content %s", reference)
	}
	if contentHash(entry.Value) != referenceHash(reference) {
		return nil, errors.Newf("configuration content %s is damaged", reference)
	}
	return entry.Value, nil
}

// writeContent writes content under its reference. If the key exists, it already
// holds the same content.
func (r repository) writeContent(ctx context.Context, reference string, content []byte) error {
	key := contentPrefix + reference
	_, err := r.store.CompareAndSwap(ctx, key, content, 0)
	if err == nil || errors.Is(err, kvstore.ErrConflict) {
		return nil
	}
	if errors.Is(err, kvstore.ErrAmbiguous) {
		entry, readErr := r.store.Get(ctx, key)
		if readErr == nil && bytes.Equal(entry.Value, content) {
			return nil
		}
	}
	return errors.Wrap(err, "writing configuration content")
}

// fetchedContent holds documents that were read for a revision that isn't loaded yet. It is
// safe for concurrent use.
type fetchedContent struct {
	mu     sync.Mutex
	byHash map[string][]byte
}

// keepOnly drops the documents that m doesn't refer to.
func (f *fetchedContent) keepOnly(m manifest) {
	f.mu.Lock()
	defer f.mu.Unlock()
	kept := make(map[string][]byte)
	for _, reference := range m.Documents {
		if body, ok := f.byHash[referenceHash(reference)]; ok {
			kept[referenceHash(reference)] = body
		}
	}
	f.byHash = kept
}

func (f *fetchedContent) get(hash string) ([]byte, bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	body, ok := f.byHash[hash]
	return body, ok
}

func (f *fetchedContent) put(hash string, body []byte) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.byHash[hash] = body
}

// load reads the revision that h names. It reads only the content that known and fetched
// lack, and leaves in fetched what it has read if it fails.
func (r repository) load(ctx context.Context, h head, known *configuration, fetched *fetchedContent) (*configuration, error) {
	if h.Revision == 0 {
		return emptyConfiguration(), nil
	}
	if h.Manifest == known.hash {
		return known, nil
	}
	raw, err := r.readContent(ctx, h.Manifest)
	if err != nil {
		return nil, err
	}
	var m manifest
	if err := json.Unmarshal(raw, &m); err != nil {
		return nil, errors.Wrap(err, "configuration manifest is damaged")
	}
	fetched.keepOnly(m)
	content, err := r.readDocuments(ctx, m, known, fetched)
	if err != nil {
		return nil, err
	}
	fetched.keepOnly(manifest{})
	return assemble(m, content)
}

// readDocuments reads the documents that m refers to, by hash, except those in known or
// fetched. It adds what it reads to fetched.
func (r repository) readDocuments(ctx context.Context, m manifest, known *configuration, fetched *fetchedContent) (map[string][]byte, error) {
	content := fetchedContent{byHash: make(map[string][]byte, len(m.Documents))}
	g, ctx := errgroup.WithContext(ctx)
	g.SetLimit(maxParallelCalls)
	for _, reference := range m.Documents {
		hash := referenceHash(reference)
		body, ok := known.content[hash]
		if !ok {
			body, ok = fetched.get(hash)
		}
		if ok {
			content.put(hash, body)
			continue
		}
		g.Go(func() error {
			body, err := r.readContent(ctx, reference)
			if err != nil {
				return err
			}
			content.put(hash, body)
			fetched.put(hash, body)
			return nil
		})
	}
	err := g.Wait()
	return content.byHash, err
}

// save writes the manifest of next and those of its documents that base lacks.
func (r repository) save(ctx context.Context, next, base *configuration) error {
	g, groupCtx := errgroup.WithContext(ctx)
	g.SetLimit(maxParallelCalls)
	for id, reference := range next.manifest.Documents {
		if base.manifest.Documents[id] != reference {
			g.Go(func() error { return r.writeContent(groupCtx, reference, next.content[referenceHash(reference)]) })
		}
	}
	if err := g.Wait(); err != nil {
		return err
	}
	raw, err := next.manifest.encode()
	if err != nil {
		return err
	}
	return r.writeContent(ctx, next.hash, raw)
}

// deleteReplaced deletes the content of base that next no longer refers to. A reader
// that is still loading base finds content missing, adopts nothing and reads the head
// again. If the store cannot delete, the content stays.
func (r repository) deleteReplaced(ctx context.Context, next, base *configuration) {
	store, ok := r.store.(kvstore.Deleter)
	if !ok {
		return
	}
	for _, reference := range append(next.droppedReferences(base), base.hash) {
		if reference != "" {
			_ = store.Delete(ctx, contentPrefix+reference) // on failure the content stays
		}
	}
}
