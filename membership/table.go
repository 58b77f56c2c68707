package membership

import (
	"maps"
	"slices"
	"strings"
	"time"

	"github.com/cyclamentray/cyclamentray/kvstore"
)

const (
	// silentAfter is how long an entry host may be unheard before it is silent.
	silentAfter = 3 * time.Second
	// absentGrace and absentReads are how long, and in how many reads of the
	// list in a row, a host must be absent before it is gone.
	absentGrace = 10 * time.Second
	absentReads = 2
	// massGrace applies instead when a list lacks many hosts at once, which is
	// more often a fault of the list than of the hosts.
	massGrace = 2 * time.Hour
	// massShare and massFloor define "many": more than a quarter of a failure
	// domain's hosts, or of those of one kind, and more than two.
	massShare = 4
	massFloor = 2
	// firstHandAge is how long it counts that a host was heard first-hand.
	firstHandAge = 15 * time.Second
)

// record is what is known of one host. Times are zero when it never happened.
type record struct {
	host        kvstore.Host
	incarnation string
	draining    bool      // the host itself said that it leaves
	heard       time.Time // last answer or message from it
	tried       time.Time // last heartbeat sent to it
	untold      bool      // this host has news, so the next heartbeat is due at once
	added       time.Time
	absentSince time.Time // first list read in a row that lacked it
	absentReads int
	status      Status
}

// table is the state of membership. It is not safe for concurrent use.
type table struct {
	self    kvstore.Host
	records map[string]*record
}

func newTable(self kvstore.Host) *table {
	return &table{self: self, records: make(map[string]*record)}
}

// applyList takes in a successful read of the list. Hosts that it lacks are
// only marked; gone decides later.
func (t *table) applyList(now time.Time, hosts []kvstore.Host) {
	listed := make(map[string]bool, len(hosts))
	for _, h := range hosts {
		listed[h.Name] = true
		t.put(now, h)
	}
	for name, r := range t.records {
		switch {
		case listed[name]:
			r.absentSince, r.absentReads = time.Time{}, 0
		case r.absentReads == 0:
			r.absentSince, r.absentReads = now, 1
		default:
			r.absentReads++
		}
	}
	t.forget(now)
}

// repeatList takes in that the list is still as last read.
func (t *table) repeatList(now time.Time) {
	for _, r := range t.records {
		if r.absentReads > 0 {
			r.absentReads++
		}
	}
	t.forget(now)
}

func (t *table) put(now time.Time, h kvstore.Host) *record {
	r := t.records[h.Name]
	if r == nil {
		r = &record{added: now}
		t.records[h.Name] = r
	}
	r.host = h
	return r
}

// applyBeat takes in what an entry host said of itself, in a heartbeat or in
// the answer to one. It outranks the list. It reports whether the view changes.
func (t *table) applyBeat(now time.Time, b Beat) (changed bool) {
	if b.Host.Name == "" || b.Host.Name == t.self.Name {
		return false
	}
	r := t.records[b.Host.Name]
	changed = r == nil || r.incarnation != b.Incarnation || r.draining != b.Draining || r.silent(now, t.self)
	if r == nil || r.incarnation != b.Incarnation {
		r = t.put(now, b.Host)
		r.incarnation = b.Incarnation
		r.draining = false
	}
	r.draining = r.draining || b.Draining
	r.heard = now
	r.status = b.Status
	r.status.At = now
	return changed
}

// observe takes in that a host answered first-hand.
func (t *table) observe(now time.Time, name string) {
	if r := t.records[name]; r != nil {
		r.heard = now
	}
}

// due returns the entry hosts to send a heartbeat to, ordered by name, and
// marks them as tried. A host that was heard within its interval needs none,
// so of each pair only one side sends.
func (t *table) due(now time.Time) []kvstore.Host {
	var out []kvstore.Host
	for _, r := range t.records {
		if r.host.Kind != kvstore.EntryHost || r.host.Name == t.self.Name {
			continue
		}
		interval := farInterval
		if r.host.FailureDomain == t.self.FailureDomain {
			interval = nearInterval
		}
		if r.untold || now.Sub(r.heard) >= interval && now.Sub(r.tried) >= interval {
			r.tried, r.untold = now, false
			out = append(out, r.host)
		}
	}
	sortHosts(out)
	return out
}

func sortHosts(hosts []kvstore.Host) {
	slices.SortFunc(hosts, func(a, b kvstore.Host) int { return strings.Compare(a.Name, b.Name) })
}

// forget drops records that have been gone for long.
func (t *table) forget(now time.Time) {
	for name, r := range t.records {
		if r.absentReads >= absentReads && now.Sub(r.absentSince) > 2*massGrace && now.Sub(r.heard) > 2*massGrace {
			delete(t.records, name)
		}
	}
}

// gone reports whether a host is to be left out of the view.
func (r *record) gone(now time.Time, mass bool) bool {
	if r.absentReads < absentReads || now.Sub(r.heard) < firstHandAge {
		return false
	}
	grace := absentGrace
	if mass {
		grace = massGrace
	}
	return now.Sub(r.absentSince) >= grace
}

// silent reports whether an entry host does not answer heartbeats. One that was
// never heard counts from when it became known.
func (r *record) silent(now time.Time, self kvstore.Host) bool {
	if r.host.Kind != kvstore.EntryHost || r.host.Name == self.Name {
		return false
	}
	last := r.heard
	if last.IsZero() {
		last = r.added
	}
	limit := silentAfter
	if r.host.FailureDomain != self.FailureDomain {
		limit += farInterval
	}
	return now.Sub(last) > limit
}

type group struct {
	kind          kvstore.HostKind // empty: every kind
	failureDomain string
}

// groups returns the groups that a host counts in.
func groups(h kvstore.Host) []group {
	return []group{{h.Kind, h.FailureDomain}, {"", h.FailureDomain}}
}

// massAbsent returns the groups of hosts of which the list lacks many.
func (t *table) massAbsent() map[group]bool {
	if !t.anyAbsent() {
		return nil
	}
	known, absent := map[group]int{}, map[group]int{}
	for _, r := range t.records {
		for _, g := range groups(r.host) {
			known[g]++
			if r.absentReads > 0 {
				absent[g]++
			}
		}
	}
	mass := map[group]bool{}
	for g, n := range absent {
		mass[g] = n > massFloor && n*massShare > known[g]
	}
	return mass
}

func (t *table) anyAbsent() bool {
	for _, r := range t.records {
		if r.absentReads > 0 {
			return true
		}
	}
	return false
}

func inMass(h kvstore.Host, mass map[group]bool) bool {
	for _, g := range groups(h) {
		if mass[g] {
			return true
		}
	}
	return false
}

// view publishes what is known at now.
func (t *table) view(now time.Time) *View {
	v := &View{Self: t.self, Silent: map[string]bool{}, Hosts: make([]kvstore.Host, 0, len(t.records))}
	mass := t.massAbsent()
	for _, name := range slices.Sorted(maps.Keys(t.records)) {
		r := t.records[name]
		if r.absentReads > 0 && r.gone(now, inMass(r.host, mass)) {
			continue
		}
		h := r.host
		h.Leaving = h.Leaving || r.draining
		v.Hosts = append(v.Hosts, h)
		if r.silent(now, t.self) {
			v.Silent[name] = true
		}
	}
	return v
}
