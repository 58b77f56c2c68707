package config

import (
	"crypto/sha256"
	"encoding/base64"
	"encoding/json"
	"maps"
	"strings"

	"github.com/cockroachdb/errors"
)

// manifest names every document of one revision by its content's hash. It is
// immutable. Its JSON is canonical: maps are written in the order of their keys.
type manifest struct {
	Revision  uint64            `json:"revision"`
	Documents map[string]string `json:"documents"` // Document.ID to reference
	Retired   map[string]uint64 `json:"retired"`   // service name to the revision that retired it
}

func (m manifest) encode() ([]byte, error) { return json.Marshal(m) }

// hashBytes is how much of the SHA-256 names content. The manifest, which is
// read with every edit, repeats it for each document.
const hashBytes = 16

// contentHash names content by the first half of its SHA-256.
func contentHash(content []byte) string {
	sum := sha256.Sum256(content)
	return base64.RawURLEncoding.EncodeToString(sum[:hashBytes])
}

// newReference names content by its hash and the edit that wrote it. Content
// that a later edit drops is never referenced again, even when the same text
// returns, so it can be deleted.
func newReference(hash, nonce string) string { return hash + "." + nonce }

// referenceHash returns the hash in a reference.
func referenceHash(reference string) string {
	hash, _, _ := strings.Cut(reference, ".")
	return hash
}

// configuration is one revision in full: the manifest, the documents and the snapshot
// made of them. It is immutable.
type configuration struct {
	manifest manifest
	hash     string            // of the manifest's encoding
	content  map[string][]byte // documents by hash
	snap     *Snapshot
}

// emptyConfiguration is what a host knows before it has read anything.
func emptyConfiguration() *configuration {
	m := manifest{Documents: map[string]string{}, Retired: map[string]uint64{}}
	return &configuration{manifest: m, content: map[string][]byte{}, snap: newSnapshot(m)}
}

func newSnapshot(m manifest) *Snapshot {
	return &Snapshot{
		Revision:       m.Revision,
		Organisations:  map[string]Organisation{},
		Services:       map[string]Service{},
		FailureDomains: map[string]FailureDomain{},
		Retired:        m.Retired,

		RetiredServices: map[string]Service{},
	}
}

// assemble makes an edition out of a manifest and at least the content that it
// names. A document that is missing or damaged fails the whole edition: it is
// never taken for a retirement.
func assemble(m manifest, content map[string][]byte) (*configuration, error) {
	raw, err := m.encode()
	if err != nil {
		return nil, err
	}
	e := &configuration{manifest: m, hash: contentHash(raw), content: make(map[string][]byte, len(m.Documents)), snap: newSnapshot(m)}
	for id, reference := range m.Documents {
		hash := referenceHash(reference)
		body, ok := content[hash]
		if !ok || contentHash(body) != hash {
			return nil, errors.Newf("revision %d: document %s is missing or damaged", m.Revision, id)
		}
		if err := e.addDocument(hash, body); err != nil {
			return nil, errors.Wrapf(err, "revision %d: document %s", m.Revision, id)
		}
	}
	return e, nil
}

func (e *configuration) addDocument(hash string, body []byte) error {
	var d Document
	if err := json.Unmarshal(body, &d); err != nil {
		return err
	}
	e.content[hash] = body
	switch d.Kind {
	case KindOrganisation:
		e.snap.Organisations[d.Name()] = *d.Organisation
	case KindService:
		e.addService(*d.Service)
	case KindFailureDomain:
		e.snap.FailureDomains[d.Name()] = *d.FailureDomain
	}
	return nil
}

// addService keeps a retired service's last document apart: it tells whose
// callers may learn of the retirement.
func (e *configuration) addService(s Service) {
	if _, retired := e.snap.Retired[s.Name]; retired {
		e.snap.RetiredServices[s.Name] = s
		return
	}
	e.snap.Services[s.Name] = s
}

// withEdit returns the edition that follows e with docs added or replaced and
// services retired, or e itself when that changes nothing. nonce is the edit's.
func (e *configuration) withEdit(docs []Document, retired []string, nonce string) (*configuration, error) {
	m := manifest{
		Revision:  e.manifest.Revision + 1,
		Documents: maps.Clone(e.manifest.Documents),
		Retired:   maps.Clone(e.manifest.Retired),
	}
	content := maps.Clone(e.content)
	for _, d := range docs {
		body, err := json.Marshal(d)
		if err != nil {
			return nil, err
		}
		hash := contentHash(body)
		content[hash] = body
		if referenceHash(m.Documents[d.ID()]) != hash {
			m.Documents[d.ID()] = newReference(hash, nonce)
		}
	}
	for _, name := range retired {
		m.Retired[name] = m.Revision
	}
	if maps.Equal(m.Documents, e.manifest.Documents) && maps.Equal(m.Retired, e.manifest.Retired) {
		return e, nil
	}
	return assemble(m, content)
}

// droppedReferences lists the references of base that e no longer has.
func (e *configuration) droppedReferences(base *configuration) []string {
	var out []string
	for id, reference := range base.manifest.Documents {
		if e.manifest.Documents[id] != reference {
			out = append(out, reference)
		}
	}
	return out
}

// Delta turns the manifest at revision From into the one at Revision. From 0
// stands for the empty manifest.
type Delta struct {
	From      uint64
	Revision  uint64
	Hash      string            // of the resulting manifest
	Documents map[string]string // added or replaced
	Removed   []string          // no longer named
	Retired   map[string]uint64 // added
	Content   map[string][]byte // of the added documents
}

// deltaFrom returns what leads from an older manifest to e.
func (e *configuration) deltaFrom(old manifest) *Delta {
	d := &Delta{
		From:      old.Revision,
		Revision:  e.manifest.Revision,
		Hash:      e.hash,
		Documents: map[string]string{},
		Retired:   map[string]uint64{},
		Content:   map[string][]byte{},
	}
	for id, reference := range e.manifest.Documents {
		if old.Documents[id] != reference {
			d.Documents[id] = reference
			d.Content[referenceHash(reference)] = e.content[referenceHash(reference)]
		}
	}
	for id := range old.Documents {
		if _, ok := e.manifest.Documents[id]; !ok {
			d.Removed = append(d.Removed, id)
		}
	}
	for name, revision := range e.manifest.Retired {
		if old.Retired[name] != revision {
			d.Retired[name] = revision
		}
	}
	return d
}

// applyDelta returns the edition that d leads to from e, which must be at d.From
// unless d is whole.
func (e *configuration) applyDelta(d *Delta) (*configuration, error) {
	base := e
	if d.From == 0 {
		base = emptyConfiguration()
	}
	if base.manifest.Revision != d.From {
		return nil, errors.Newf("change from revision %d does not fit revision %d", d.From, base.manifest.Revision)
	}
	m := manifest{Revision: d.Revision, Documents: maps.Clone(base.manifest.Documents), Retired: maps.Clone(base.manifest.Retired)}
	for _, id := range d.Removed {
		delete(m.Documents, id)
	}
	maps.Copy(m.Documents, d.Documents)
	maps.Copy(m.Retired, d.Retired)
	content := maps.Clone(base.content)
	maps.Copy(content, d.Content)
	next, err := assemble(m, content)
	if err != nil {
		return nil, err
	}
	if next.hash != d.Hash {
		return nil, errors.Newf("revision %d: manifest differs from the one announced", d.Revision)
	}
	return next, nil
}
