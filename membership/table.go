package membership

import (
	"maps"
	"slices"
	"strings"
	"time"

	"github.com/cyclamentray/cyclamentray/kvstore"
)

const (
	// silenceTimeout is how long after the last contact an entry host counts as silent.
	// Across failure domains remoteHeartbeatInterval is added to it.
	silenceTimeout = 3 * time.Second
	// A host is evicted from the view only when it has been absent from the host list
	// for absentGrace and in minAbsentReads consecutive reads.
	absentGrace    = 10 * time.Second
	minAbsentReads = 2
	// massAbsenceGrace replaces absentGrace when the list lacks many hosts at once, which
	// is more often a fault of the list than of the hosts.
	massAbsenceGrace = 2 * time.Hour
	// massAbsenceDivisor and massAbsenceFloor define "many": more than 1/4 of a failure
	// domain's hosts, or of its hosts of one kind, and more than 2.
	massAbsenceDivisor = 4
	massAbsenceFloor   = 2
	// contactValidity is how long after its last direct contact a host is not evicted.
	contactValidity = 15 * time.Second
)

// record is the state kept of one host. A time is zero if the event never happened.
type record struct {
	host              kvstore.Host
	incarnation       string
	draining          bool      // the host itself reported that it drains
	lastContact       time.Time // last message or reply from the host
	lastHeartbeatSent time.Time // last heartbeat sent to the host
	heartbeatDue      bool      // this host's state has changed, so a heartbeat is due at the next tick
	addedAt           time.Time
	absentSince       time.Time // first of the consecutive list reads that lacked the host
	absentReads       int       // consecutive list reads that lacked the host
	status            Status
}

// table holds the records of all known hosts. It is not safe for concurrent use.
type table struct {
	self    kvstore.Host
	records map[string]*record
}

func newTable(self kvstore.Host) *table {
	return &table{self: self, records: make(map[string]*record)}
}

// applyList applies a successful read of the host list. Hosts that the list lacks are
// only marked as absent; evicted decides whether they leave the view.
func (t *table) applyList(now time.Time, hosts []kvstore.Host) {
	listed := make(map[string]bool, len(hosts))
	for _, h := range hosts {
		listed[h.Name] = true
		t.upsert(now, h)
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
	t.deleteLongAbsent(now)
}

// confirmList applies a read that returned the same list as the last one.
func (t *table) confirmList(now time.Time) {
	for _, r := range t.records {
		if r.absentReads > 0 {
			r.absentReads++
		}
	}
	t.deleteLongAbsent(now)
}

// upsert sets the host of the record with h's name, which it adds if there is none, and
// returns the record.
func (t *table) upsert(now time.Time, h kvstore.Host) *record {
	r := t.records[h.Name]
	if r == nil {
		r = &record{addedAt: now}
		t.records[h.Name] = r
	}
	r.host = h
	return r
}

// applyHeartbeat applies a heartbeat or the reply to one, and reports whether the view
// changes. What an entry host reports of itself takes precedence over the list: once it
// has reported that it drains, it counts as draining until it restarts, which changes
// its incarnation.
func (t *table) applyHeartbeat(now time.Time, b Beat) (changed bool) {
	if b.Host.Name == "" || b.Host.Name == t.self.Name {
		return false
	}
	r := t.records[b.Host.Name]
	changed = r == nil || r.incarnation != b.Incarnation || r.draining != b.Draining || r.silent(now, t.self)
	if r == nil || r.incarnation != b.Incarnation {
		r = t.upsert(now, b.Host)
		r.incarnation = b.Incarnation
		r.draining = false
	}
	r.draining = r.draining || b.Draining
	r.lastContact = now
	r.status = b.Status
	r.status.At = now
	return changed
}

// recordContact records that a known host answered this one directly.
func (t *table) recordContact(now time.Time, name string) {
	if r := t.records[name]; r != nil {
		r.lastContact = now
	}
}

// takeDuePeers returns the entry hosts to which a heartbeat is due, ordered by name, and
// records it as sent. Unless this host's state has changed, no heartbeat is due to a host
// from which one arrived within the interval, so that only one side of each pair sends.
func (t *table) takeDuePeers(now time.Time) []kvstore.Host {
	var out []kvstore.Host
	for _, r := range t.records {
		if r.host.Kind != kvstore.EntryHost || r.host.Name == t.self.Name {
			continue
		}
		interval := remoteHeartbeatInterval
		if r.host.FailureDomain == t.self.FailureDomain {
			interval = localHeartbeatInterval
		}
		if r.heartbeatDue || now.Sub(r.lastContact) >= interval && now.Sub(r.lastHeartbeatSent) >= interval {
			r.lastHeartbeatSent, r.heartbeatDue = now, false
			out = append(out, r.host)
		}
	}
	sortHosts(out)
	return out
}

func sortHosts(hosts []kvstore.Host) {
	slices.SortFunc(hosts, func(a, b kvstore.Host) int { return strings.Compare(a.Name, b.Name) })
}

// deleteLongAbsent deletes the records of hosts that have been absent from the list and
// without contact for more than 2 times massAbsenceGrace.
func (t *table) deleteLongAbsent(now time.Time) {
	for name, r := range t.records {
		if r.absentReads >= minAbsentReads && now.Sub(r.absentSince) > 2*massAbsenceGrace && now.Sub(r.lastContact) > 2*massAbsenceGrace {
			delete(t.records, name)
		}
	}
}

// evicted reports whether the host is left out of the view. massAbsence says that the
// list lacks many hosts of one of its groups.
func (r *record) evicted(now time.Time, massAbsence bool) bool {
	if r.absentReads < minAbsentReads || now.Sub(r.lastContact) < contactValidity {
		return false
	}
	grace := absentGrace
	if massAbsence {
		grace = massAbsenceGrace
	}
	return now.Sub(r.absentSince) >= grace
}

// silent reports whether the host is an entry host that does not answer heartbeats. If
// it never sent any message, the time counts from when its record was added.
func (r *record) silent(now time.Time, self kvstore.Host) bool {
	if r.host.Kind != kvstore.EntryHost || r.host.Name == self.Name {
		return false
	}
	last := r.lastContact
	if last.IsZero() {
		last = r.addedAt
	}
	limit := silenceTimeout
	if r.host.FailureDomain != self.FailureDomain {
		limit += remoteHeartbeatInterval
	}
	return now.Sub(last) > limit
}

// hostGroup is a failure domain's hosts, or those of one kind.
type hostGroup struct {
	kind          kvstore.HostKind // empty: every kind
	failureDomain string
}

// groupsOf returns the groups to which a host belongs.
func groupsOf(h kvstore.Host) []hostGroup {
	return []hostGroup{{h.Kind, h.FailureDomain}, {"", h.FailureDomain}}
}

// massAbsences returns, by group, whether the list lacks many hosts of it. It
// leaves out groups without absent hosts.
func (t *table) massAbsences() map[hostGroup]bool {
	if !t.anyAbsent() {
		return nil
	}
	known, absent := map[hostGroup]int{}, map[hostGroup]int{}
	for _, r := range t.records {
		for _, g := range groupsOf(r.host) {
			known[g]++
			if r.absentReads > 0 {
				absent[g]++
			}
		}
	}
	massAbsent := map[hostGroup]bool{}
	for g, n := range absent {
		massAbsent[g] = n > massAbsenceFloor && n*massAbsenceDivisor > known[g]
	}
	return massAbsent
}

func (t *table) anyAbsent() bool {
	for _, r := range t.records {
		if r.absentReads > 0 {
			return true
		}
	}
	return false
}

// inMassAbsence reports whether the list lacks many hosts of one of h's groups.
func inMassAbsence(h kvstore.Host, massAbsent map[hostGroup]bool) bool {
	for _, g := range groupsOf(h) {
		if massAbsent[g] {
			return true
		}
	}
	return false
}

// view returns the view at now: all known hosts that are not evicted.
func (t *table) view(now time.Time) *View {
	v := &View{Self: t.self, Silent: map[string]bool{}, Hosts: make([]kvstore.Host, 0, len(t.records))}
	massAbsent := t.massAbsences()
	for _, name := range slices.Sorted(maps.Keys(t.records)) {
		r := t.records[name]
		if r.absentReads > 0 && r.evicted(now, inMassAbsence(r.host, massAbsent)) {
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
