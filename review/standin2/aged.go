package main

import (
	"context"
	"net/http"
	"sort"
	"strings"
	"sync"
	"time"

	"github.com/cyclamentray/cyclamentray/kvstore"
	"github.com/cyclamentray/cyclamentray/standin/keyspace"
)

// Limits of one answer of the store, and the time that it takes, by the pages.
const (
	pageItems   = 500
	pageBytes   = 1 << 20
	storeAnswer = 4 * time.Millisecond
)

// agedStore serves lists in pages, as the pages say, of a store that holds records of earlier
// work beside those of the keyspace. The earlier records never change.
type agedStore struct {
	live *keyspace.Store

	mu      sync.Mutex
	earlier []item // by key
	lists   int    // pages served
}

type item struct {
	Key      string `json:"key"`
	Value    []byte `json:"value"`
	Revision uint64 `json:"revision"`
	Lease    uint64 `json:"lease"`
}

// add adds earlier records.
func (s *agedStore) add(items []item) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.earlier = append(s.earlier, items...)
	sort.Slice(s.earlier, func(i, j int) bool { return s.earlier[i].Key < s.earlier[j].Key })
}

// list serves one page.
func (s *agedStore) list(w http.ResponseWriter, q *http.Request) {
	time.Sleep(storeAnswer)
	prefix, after := q.URL.Query().Get("prefix"), q.URL.Query().Get("after")
	live, asOf, err := s.live.List(context.Background(), prefix)
	if err != nil {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	page := struct {
		Items   []item `json:"items"`
		HasMore bool   `json:"has_more"`
		AsOf    uint64 `json:"as_of"`
	}{Items: []item{}, AsOf: asOf}
	s.mu.Lock()
	s.lists++
	first := max(prefix, after)
	i := sort.Search(len(s.earlier), func(i int) bool { return s.earlier[i].Key >= first })
	size := 0
	take := func(it item) bool {
		if len(page.Items) == pageItems || size+len(it.Value) > pageBytes && len(page.Items) > 0 {
			page.HasMore = true
			return false
		}
		page.Items, size = append(page.Items, it), size+len(it.Value)
		return true
	}
	for {
		for len(live) > 0 && live[0].Key <= after {
			live = live[1:]
		}
		for i < len(s.earlier) && s.earlier[i].Key == after {
			i++
		}
		old := i < len(s.earlier) && strings.HasPrefix(s.earlier[i].Key, prefix)
		switch {
		case old && (len(live) == 0 || s.earlier[i].Key < live[0].Key):
			if !take(s.earlier[i]) {
				old = false
				live = nil
			}
			i++
		case len(live) > 0:
			if !take(toItem(live[0])) {
				live = nil
				i = len(s.earlier)
				continue
			}
			live = live[1:]
			continue
		}
		if !old {
			break
		}
	}
	s.mu.Unlock()
	answer(w, http.StatusOK, page)
}

func toItem(k kvstore.Item) item {
	return item{Key: k.Key, Value: k.Value, Revision: k.Revision, Lease: k.Lease}
}

// copies returns the records of ended jobs as n further jobs would have left them.
func copies(records []kvstore.Item, jobs []string, n int) []item {
	var out []item
	for i := range n {
		from := jobs[i%len(jobs)]
		id := newJobID(i)
		for _, r := range records {
			if !strings.HasSuffix(r.Key, "/"+from) {
				continue
			}
			value := []byte(strings.ReplaceAll(string(r.Value), from, id))
			out = append(out, item{Key: strings.TrimSuffix(r.Key, from) + id, Value: value, Revision: r.Revision})
		}
	}
	return out
}

func newJobID(i int) string {
	const digits = "0123456789abcdef"
	x := uint64(i+1) * 0x9e3779b97f4a7c15
	b := make([]byte, 16)
	for k := range b {
		b[k] = digits[x>>(60-4*k)&15]
	}
	return string(b)
}
