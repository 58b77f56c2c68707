package ledger

import (
	"bytes"
	"compress/gzip"
	"encoding/json"
	"io"

	"github.com/cockroachdb/errors"

	"github.com/cyclamentray/cyclamentray/kvstore"
)

// maxNonces is the number of latest writes whose nonces a page holds. A write whose
// reply was lost is recognised as long as fewer writes follow it.
const maxNonces = 16

// maxDecodedBytes limits the size of a decompressed shard.
const maxDecodedBytes = 16 * kvstore.MaxValueBytes

// page is the value of one shard: its entries by key, and the nonces of its latest
// writes.
type page[V any] struct {
	Nonces  []string     `json:"nonces"`
	Entries map[string]V `json:"entries"`
}

// hasNonce reports whether the page includes the write with a nonce.
func (p page[V]) hasNonce(nonce string) bool {
	for _, n := range p.Nonces {
		if n == nonce {
			return true
		}
	}
	return false
}

// copyWithNonce returns a copy of p with one more nonce. Changes to the entries and
// nonces of the copy do not affect p.
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

// encode encodes a page as gzipped JSON. The records of a shard resemble each
// other, so they compress to a small part of their size.
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

// decode decodes the output of encode. An empty value is an empty page.
func decode[V any](value []byte) (page[V], error) {
	var p page[V]
	if len(value) == 0 {
		return p, nil
	}
	z, err := gzip.NewReader(bytes.NewReader(value))
	if err != nil {
		return p, errors.Wrap(err, "decompressing a ledger shard")
	}
	plain, err := io.ReadAll(io.LimitReader(z, maxDecodedBytes))
	if err != nil {
		return p, errors.Wrap(err, "decompressing a ledger shard")
	}
	if err := json.Unmarshal(plain, &p); err != nil {
		return p, errors.Wrap(err, "decoding a ledger shard")
	}
	return p, nil
}
