package config_test

import (
	"context"
	"fmt"
	"net"
	"net/http/httptest"
	"sync"
	"testing"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/shoenig/test/must"
	"github.com/shoenig/test/wait"

	"github.com/cyclamentray/cyclamentray/config"
	"github.com/cyclamentray/cyclamentray/kvstore"
	"github.com/cyclamentray/cyclamentray/membership"
	"github.com/cyclamentray/cyclamentray/peer"
	"github.com/cyclamentray/cyclamentray/standin/kv"
)

// fleet is a group of entry hosts that distribute the configuration of one stand-in
// store.
type fleet struct {
	t     *testing.T
	store *kv.Server
	url   string
	// schedulers makes every member a scheduler, which reads the store itself. It
	// is set before members start.
	schedulers bool

	mu      sync.Mutex // guards members against restart
	members []*member
}

// member is one entry host of a fleet.
type member struct {
	*config.Distributor
	fleet  *fleet
	self   kvstore.Host
	guard  *kvstore.Guard
	server *peer.Server
	pool   *peer.Pool
	stop   context.CancelFunc
	done   sync.WaitGroup
}

// View implements membership.Source with every member, silent ones too.
func (m *member) View() *membership.View {
	v := &membership.View{Self: m.self}
	m.fleet.mu.Lock()
	defer m.fleet.mu.Unlock()
	for _, other := range m.fleet.members {
		v.Hosts = append(v.Hosts, other.self)
	}
	return v
}

func newFleet(t *testing.T, failureDomains, hostsEach int) *fleet {
	t.Helper()
	f := &fleet{t: t, store: kv.New()}
	server := httptest.NewServer(f.store)
	f.url = server.URL
	for fd := range failureDomains {
		for h := range hostsEach {
			f.members = append(f.members, f.newMember(fmt.Sprintf("n%d", fd), fmt.Sprintf("n%d-%d", fd, h)))
		}
	}
	t.Cleanup(func() {
		for _, m := range f.members {
			m.shutDown()
		}
		f.store.SetFaults(kv.Faults{})
		server.Close()
	})
	return f
}

func (f *fleet) newMember(fd, name string) *member {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	must.NoError(f.t, err)
	m := &member{fleet: f, server: peer.NewServer(peer.Options{}), pool: peer.NewPool(peer.Options{}), stop: func() {}}
	m.self = kvstore.Host{Name: name, Kind: kvstore.EntryHost, FailureDomain: fd, PeerAddress: l.Addr().String()}
	m.guard = kvstore.New(kvstore.Options{Base: f.url})
	m.Distributor = config.NewDistributor(config.Options{Store: m.guard, Peers: m.pool, Members: m,
		Direct: func() bool { return f.schedulers }, Metrics: metrics.NewSet()})
	must.NoError(f.t, m.RegisterPeer(m.server))
	m.done.Go(func() { _ = m.server.Serve(l) })
	return m
}

func (m *member) start() {
	ctx, stop := context.WithCancel(context.Background())
	m.stop = stop
	m.done.Go(func() { _ = m.Run(ctx) })
}

func (m *member) shutDown() {
	m.stop()
	_ = m.pool.Close()
	_ = m.server.Close()
	m.done.Wait()
}

func (f *fleet) start() {
	for _, m := range f.members {
		m.start()
	}
}

// restart replaces a member by one that has read no configuration.
func (f *fleet) restart(i int) *member {
	old := f.members[i]
	old.shutDown()
	booted := f.newMember(old.self.FailureDomain, old.self.Name)
	f.mu.Lock()
	f.members[i] = booted
	f.mu.Unlock()
	booted.start()
	return booted
}

func (f *fleet) editor(i int) *config.Editor {
	return config.NewEditor(config.EditorOptions{Store: f.members[i].guard, Distributor: f.members[i].Distributor})
}

func (m *member) revision() uint64 {
	snap, _ := m.Current()
	return snap.Revision
}

// awaitRevision waits until every member is at revision, and returns how long that took.
func (f *fleet) awaitRevision(revision uint64) time.Duration {
	f.t.Helper()
	began := time.Now()
	f.await(func() bool {
		for _, m := range f.members {
			if m.revision() != revision {
				return false
			}
		}
		return true
	})
	return time.Since(began)
}

func (f *fleet) await(holds func() bool) {
	f.t.Helper()
	must.Wait(f.t, wait.InitialSuccess(wait.BoolFunc(holds), wait.Timeout(30*time.Second), wait.Gap(5*time.Millisecond)))
}
