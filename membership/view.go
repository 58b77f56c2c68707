// Package membership maintains an entry host's view of the hosts in the deployment:
// entry hosts, workers and upstreams. It combines the platform's host list, which
// lags, with heartbeats between entry hosts and with direct contact. All state is in
// memory. The packages that choose a host to call read the view.
package membership

import (
	"slices"
	"strings"

	"github.com/cyclamentray/cyclamentray/kvstore"
)

// View is a snapshot of the membership. It is immutable once published.
type View struct {
	Self   kvstore.Host
	Hosts  []kvstore.Host  // ordered by name, without evicted hosts
	Silent map[string]bool // names of entry hosts that do not answer heartbeats
}

// Find returns the host with the given name.
func (v *View) Find(name string) (kvstore.Host, bool) {
	i, found := slices.BinarySearchFunc(v.Hosts, name, func(h kvstore.Host, name string) int {
		return strings.Compare(h.Name, name)
	})
	if !found {
		return kvstore.Host{}, false
	}
	return v.Hosts[i], true
}

// Select returns the hosts for which keep is true, ordered by name.
func (v *View) Select(keep func(kvstore.Host) bool) []kvstore.Host {
	var out []kvstore.Host
	for _, h := range v.Hosts {
		if keep(h) {
			out = append(out, h)
		}
	}
	return out
}

// Workers returns the workers of a failure domain, including those that are leaving.
func (v *View) Workers(failureDomain string) []kvstore.Host {
	return v.Select(func(h kvstore.Host) bool {
		return h.Kind == kvstore.Worker && h.FailureDomain == failureDomain
	})
}

// Upstreams returns the upstreams of a service, including those that are leaving.
func (v *View) Upstreams(service string) []kvstore.Host {
	return v.Select(func(h kvstore.Host) bool {
		return h.Kind == kvstore.Upstream && h.Service == service
	})
}

// Peers returns the other entry hosts that are not silent.
func (v *View) Peers() []kvstore.Host {
	return v.Select(func(h kvstore.Host) bool {
		return h.Kind == kvstore.EntryHost && h.Name != v.Self.Name && !v.Silent[h.Name]
	})
}

// LocalPeers returns the peers in this host's failure domain.
func (v *View) LocalPeers() []kvstore.Host {
	var out []kvstore.Host
	for _, h := range v.Peers() {
		if h.FailureDomain == v.Self.FailureDomain {
			out = append(out, h)
		}
	}
	return out
}

// Source provides the current view. It is safe for concurrent use.
type Source interface {
	View() *View // never nil
}
