package kvstore

import (
	"context"
	"testing"

	"github.com/shoenig/test/must"
)

// scriptedWriter loses the answer of its first swap; the test case sets the rest.
type scriptedWriter struct {
	swaps    int
	retryErr error // result of the swaps after the first
	found    Entry // result of reading back
	readErr  error
}

func (w *scriptedWriter) Get(context.Context, string) (Entry, error) { return w.found, w.readErr }

func (w *scriptedWriter) trySwap(_ context.Context, a swapArgs) (Entry, error) {
	w.swaps++
	if w.swaps == 1 {
		return Entry{}, ErrAmbiguous
	}
	return Entry{Version: 9, Nonce: a.nonce}, w.retryErr
}

func (w *scriptedWriter) tryAcquire(context.Context, acquireArgs) (Entry, error) {
	return Entry{}, ErrAmbiguous
}

func TestSwapAndResolveReportsOnlyProvenOutcomes(t *testing.T) {
	cases := []struct {
		name  string
		w     scriptedWriter
		want  error
		swaps int // number of swaps sent; 0: not checked
	}{
		{"applied: the key has our nonce", scriptedWriter{found: Entry{Version: 8, Nonce: 7}}, nil, 1},
		{"pending: the key is unchanged, so the swap is sent again", scriptedWriter{found: Entry{Version: 3}}, nil, 2},
		{"superseded: another write followed, perhaps after ours", scriptedWriter{found: Entry{Version: 8, Nonce: 5}}, ErrAmbiguous, 1},
		{"reading back fails", scriptedWriter{readErr: ErrUnavailable}, ErrAmbiguous, 1},
		{"retries fail", scriptedWriter{found: Entry{Version: 3}, retryErr: ErrUnavailable}, ErrAmbiguous, 0},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			_, err := swapAndResolve(context.Background(), &c.w, swapArgs{key: "k", version: 3, nonce: 7})
			must.ErrorIs(t, err, c.want)
			if c.swaps > 0 {
				must.Eq(t, c.swaps, c.w.swaps)
			}
		})
	}
}
