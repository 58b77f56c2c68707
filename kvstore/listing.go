package kvstore

import (
	"context"
	"time"
)

// Page is a part of the items under a prefix, in the order of their keys.
type Page struct {
	Items []Item
	More  bool // items follow after the last one
	// AsOf is the store's revision when the page was read. A watch that starts after it
	// misses no change that the page doesn't show.
	AsOf uint64
}

// Listing reads every item under a prefix in pages. Each page has a time limit of its own,
// and the pages read so far are kept when one fails, so that any number of items is read
// in the end. It is not safe for concurrent use.
type Listing struct {
	Store       Keyspace
	Prefix      string
	PageSilence time.Duration // bounds the time in which nothing of a page arrives
	// Keep, when set, selects the items to return.
	Keep func(Item) bool

	items    []Item
	after    string // key of the last item read
	asOf     uint64 // revision of the first page; 0: none was read
	complete bool
}

// Read reads the pages that are missing. It returns all items, and the revision of the
// first page: a watch from there also delivers the changes made between pages. After an
// error, the next call goes on behind the last page.
func (l *Listing) Read(ctx context.Context) (items []Item, asOf uint64, err error) {
	for !l.complete {
		if err := l.readPage(ctx); err != nil {
			return nil, 0, err
		}
	}
	return l.items, l.asOf, nil
}

// readPage reads the next page.
func (l *Listing) readPage(ctx context.Context) error {
	ctx, cancel := ReadContext(ctx, l.PageSilence)
	defer cancel()
	page, err := l.Store.ListPage(ctx, l.Prefix, l.after)
	if err != nil {
		return err
	}
	if l.asOf == 0 {
		l.asOf = page.AsOf
	}
	for _, item := range page.Items {
		l.after = item.Key
		if l.Keep == nil || l.Keep(item) {
			l.items = append(l.items, item)
		}
	}
	l.complete = !page.More || len(page.Items) == 0
	return nil
}
