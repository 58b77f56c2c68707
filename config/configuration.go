package config

import (
	"crypto/sha256"
	"encoding/base64"
	"encoding/json"
	"maps"
	"strings"

	"github.com/cockroachdb/errors"
)

// manifest lists the documents of one revision with references to their content.
// It is immutable. Its JSON is canonical, since map keys are sorted.
type manifest struct {
	Revision  uint64            `json:"revision"`
	Documents map[string]string `json:"documents"` // Document.ID to reference
	Retired   map[string]uint64 `json:"retired"`   // service name to the revision that retired it
}

func (m manifest) encode() ([]byte, error) { return json.Marshal(m) }

// hashBytes is the length to which the SHA-256 of content is cut. It is less than the
// full 32 bytes because the manifest, which is read with every edit, holds a hash
// for each document.
const hashBytes = 16

// contentHash returns the first half of content's SHA-256 in base64.
func contentHash(content []byte) string {
	sum := sha256.Sum256(content)
	return base64.RawURLEncoding.EncodeToString(sum[:hashBytes])
}

// newReference returns a reference to content by its hash and the nonce of the edit
// that wrote it. Once a later edit drops the reference, no revision uses it again,
// even if the same text returns, so the content can be deleted.
func newReference(hash, nonce string) string { return hash + "." + nonce }

// referenceHash returns the hash in a reference.
func referenceHash(reference string) string {
	hash, _, _ := strings.Cut(reference, ".")
	return hash
}

// configuration is one complete revision: its manifest, its documents and their
// snapshot. It is immutable.
type configuration struct {
	manifest manifest
	hash     string            // of the manifest's encoding
	content  map[string][]byte // documents by hash
	snap     *Snapshot
}

// emptyConfiguration returns the configuration at revision 0, before any was read.
func emptyConfiguration() *configuration {
	m := manifest{Documents: map[string]string{}, Retired: map[string]uint64{}}
	return &configuration{manifest: m, content: map[string][]byte{}, snap: newSnapshot(m)}
}

// newSnapshot returns a snapshot of m without its documents.
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

// assemble builds a configuration from a manifest and content, which holds at least
// the documents that the manifest refers to. If one is missing or damaged, assemble
// fails, so that a document that could not be read is never taken for a retired one.
func assemble(m manifest, content map[string][]byte) (*configuration, error) {
	raw, err := m.encode()
	if err != nil {
		return nil, err
	}
	c := &configuration{manifest: m, hash: contentHash(raw), content: make(map[string][]byte, len(m.Documents)), snap: newSnapshot(m)}
	for id, reference := range m.Documents {
		hash := referenceHash(reference)
		body, ok := content[hash]
		if !ok || contentHash(body) != hash {
			return nil, errors.Newf("revision %d: document %s is missing or damaged", m.Revision, id)
		}
		if err := c.addDocument(hash, body); err != nil {
			return nil, errors.Wrapf(err, "revision %d: document %s", m.Revision, id)
		}
	}
	return c, nil
}

// addDocument decodes a document and adds it to the content and the snapshot.
func (c *configuration) addDocument(hash string, body []byte) error {
	var d Document
	if err := json.Unmarshal(body, &d); err != nil {
		return err
	}
	c.content[hash] = body
	switch d.Kind {
	case KindOrganisation:
		c.snap.Organisations[d.Name()] = *d.Organisation
	case KindService:
		c.addService(*d.Service)
	case KindFailureDomain:
		c.snap.FailureDomains[d.Name()] = *d.FailureDomain
	}
	return nil
}

// addService adds a service to the snapshot. A retired service's last document goes
// to RetiredServices: it shows which organisations' callers may be told of the
// retirement.
func (c *configuration) addService(s Service) {
	if _, retired := c.snap.Retired[s.Name]; retired {
		c.snap.RetiredServices[s.Name] = s
		return
	}
	c.snap.Services[s.Name] = s
}

// withEdit returns the next revision after c, with docs added or replaced and
// services retired, or c itself if that changes nothing. nonce identifies the edit.
func (c *configuration) withEdit(docs []Document, retired []string, nonce string) (*configuration, error) {
	m := manifest{
		Revision:  c.manifest.Revision + 1,
		Documents: maps.Clone(c.manifest.Documents),
		Retired:   maps.Clone(c.manifest.Retired),
	}
	content := maps.Clone(c.content)
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
	if maps.Equal(m.Documents, c.manifest.Documents) && maps.Equal(m.Retired, c.manifest.Retired) {
		return c, nil
	}
	return assemble(m, content)
}

// droppedReferences returns the references in base that c no longer has.
func (c *configuration) droppedReferences(base *configuration) []string {
	var out []string
	for id, reference := range base.manifest.Documents {
		if c.manifest.Documents[id] != reference {
			out = append(out, reference)
		}
	}
	return out
}

// Delta is the difference between the manifests at revisions From and Revision. If
// From is 0, it is the difference from the empty manifest.
type Delta struct {
	From      uint64
	Revision  uint64
	Hash      string            // of the resulting manifest
	Documents map[string]string // added or replaced
	Removed   []string          // IDs of documents no longer in the manifest
	Retired   map[string]uint64 // added
	Content   map[string][]byte // of the added documents
}

// deltaFrom returns the delta from an older manifest to c.
func (c *configuration) deltaFrom(old manifest) *Delta {
	d := &Delta{
		From:      old.Revision,
		Revision:  c.manifest.Revision,
		Hash:      c.hash,
		Documents: map[string]string{},
		Retired:   map[string]uint64{},
		Content:   map[string][]byte{},
	}
	for id, reference := range c.manifest.Documents {
		if old.Documents[id] != reference {
			d.Documents[id] = reference
			d.Content[referenceHash(reference)] = c.content[referenceHash(reference)]
		}
	}
	for id := range old.Documents {
		if _, ok := c.manifest.Documents[id]; !ok {
			d.Removed = append(d.Removed, id)
		}
	}
	for name, revision := range c.manifest.Retired {
		if old.Retired[name] != revision {
			d.Retired[name] = revision
		}
	}
	return d
}

// applyDelta returns the configuration that results from applying d to c, which must
// be at revision d.From unless that is 0.
func (c *configuration) applyDelta(d *Delta) (*configuration, error) {
	base := c
	if d.From == 0 {
		base = emptyConfiguration()
	}
	if base.manifest.Revision != d.From {
		return nil, errors.Newf("delta from revision %d does not apply to revision %d", d.From, base.manifest.Revision)
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
		return nil, errors.Newf("revision %d: manifest does not match the delta's hash", d.Revision)
	}
	return next, nil
}
