package claims

import (
	"net/http/httptest"
	"testing"

	"github.com/shoenig/test/must"
	"pgregory.net/rapid"

	"github.com/cyclamentray/cyclamentray/kvstore"
	"github.com/cyclamentray/cyclamentray/standin/kv"
)

// After a take-over the earlier owner's next write must fail, whichever segments
// the two owners write to. Otherwise both could grant the same key.
func TestEarlierOwnerIsFenced(t *testing.T) {
	const perSegment = 4
	for _, c := range []struct {
		name           string
		later, earlier int // events that the later and then the earlier owner append
	}{
		{"same segment", 1, 1},
		{"later owner went on to the next segment", perSegment, 1},
		{"earlier owner goes on to the next segment", 1, perSegment},
		{"both go on to the next segment", perSegment, perSegment},
	} {
		t.Run(c.name, func(t *testing.T) {
			server := httptest.NewServer(kv.New())
			defer server.Close()
			o := Options{Store: kvstore.NewClient(server.URL), Segments: 4, EventsPerSegment: perSegment}.withDefaults()
			ctx := t.Context()
			ignoreResult := func(error) {}
			earlier, later := newJournal(&o, 0, 1, ignoreResult), newJournal(&o, 0, 2, ignoreResult)
			_, err := earlier.takeOver(ctx)
			must.NoError(t, err)
			must.NoError(t, earlier.append(ctx, make([]event, perSegment-1)))
			events, err := later.takeOver(ctx)
			must.NoError(t, err)
			must.Len(t, perSegment-1, events)
			must.NoError(t, later.append(ctx, make([]event, c.later)))
			must.ErrorIs(t, earlier.append(ctx, make([]event, c.earlier)), errFenced)
			_, err = earlier.takeOver(ctx)
			must.ErrorIs(t, err, errFenced)
		})
	}
}

func TestSegmentEncodingRoundTrips(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		data := rapid.SliceOfN(rapid.Byte(), 0, 200).Draw(t, "data")
		s, err := decodeSegment(data)
		if err == nil {
			must.Eq(t, data, s.encode())
		}
		s = segment{term: rapid.Uint64().Draw(t, "term"), seq: rapid.Uint64().Draw(t, "seq")}
		for range rapid.IntRange(0, 5).Draw(t, "events") {
			s.events = append(s.events, event{kind: eventDone, attempt: rapid.Uint64().Draw(t, "attempt")})
		}
		again, err := decodeSegment(s.encode())
		must.NoError(t, err)
		must.Eq(t, s.encode(), again.encode())
	})
}
