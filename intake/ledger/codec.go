package ledger

import (
	"bytes"
	"compress/gzip"
	"encoding/json"
	"io"

	"github.com/cockroachdb/errors"

	"github.com/cyclamentray/cyclamentray/kvstore"
)

// maxNonces is how many writes back a lost answer can still be recognised.
const maxNonces = 16

// maxDecodedBytes bounds an unpacked shard.
const maxDecodedBytes = 16 * kvstore.MaxValueBytes

// page is one shard's value: entries by key, and the newest writes' nonces.
type page[V any] struct {
	Nonces  []string     `json:"nonces"`
	Entries map[string]V `json:"entries"`
}

func (p page[V]) hasNonce(nonce string) bool {
	for _, n := range p.Nonces {
		if n == nonce {
			return true
		}
	}
	return false
}

// copyWithNonce returns a copy of p whose entries and nonces may be changed freely.
func (p page[V]) copyWithNonce(nonce string) page[V] {
	next := page[V]{Entries: make(map[string]V, len(p.Entries)+1)}
	kept := p.Nonces
	if len(kept) >= maxNonces {
		kept = kept[len(kept)-maxNonces+1:]
	}
	next.Nonces = append(append(next.Nonces, kept...), nonce)
	for k, v := range p.Entries {
		next.Entries[k] = v
	}
	return next
}

// encode packs a page as gzipped JSON: records of one shard resemble each
// other, so they pack to a small part of their plain size.
func encode[V any](p page[V]) ([]byte, error) {
	var b bytes.Buffer
	z, err := gzip.NewWriterLevel(&b, gzip.BestSpeed)
	if err != nil {
		return nil, err
	}
	if err := json.NewEncoder(z).Encode(p); err != nil {
		return nil, err
	}
	if err := z.Close(); err != nil {
		return nil, err
	}
	return b.Bytes(), nil
}

func decode[V any](value []byte) (page[V], error) {
	var p page[V]
	if len(value) == 0 {
		return p, nil
	}
	z, err := gzip.NewReader(bytes.NewReader(value))
	if err != nil {
		return p, errors.Wrap(err, "unpacking a ledger shard")
	}
	plain, err := io.ReadAll(io.LimitReader(z, maxDecodedBytes))
	if err != nil {
		return p, errors.Wrap(err, "unpacking a ledger shard")
	}
	if err := json.Unmarshal(plain, &p); err != nil {
		return p, errors.Wrap(err, "reading a ledger shard")
	}
	return p, nil
}
