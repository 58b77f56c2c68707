// Package dev runs a whole deployment in one process on loopback: entry hosts,
// and stand-ins for the platform, the workers and the upstreams. A Deployment
// holds them until it is closed; all state is in memory. The command line's dev
// command, with the two failure domains of FailureDomains, is the default way to
// try the system; tests start deployments too.
package dev

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"time"

	"github.com/charmbracelet/log"
	"github.com/cockroachdb/errors"
	"golang.org/x/sync/errgroup"

	"github.com/cyclamentray/cyclamentray/auth"
	"github.com/cyclamentray/cyclamentray/entryhost"
	"github.com/cyclamentray/cyclamentray/kvstore"
	"github.com/cyclamentray/cyclamentray/settings"
	"github.com/cyclamentray/cyclamentray/standin/kv"
	"github.com/cyclamentray/cyclamentray/standin/upstream"
	"github.com/cyclamentray/cyclamentray/standin/worker"
	"github.com/cyclamentray/cyclamentray/workerapi"
)

// OperatorToken is the token of the operator of a dev deployment.
const OperatorToken = "dev-operator"

// Size holds the numbers of hosts in each failure domain of a deployment, and
// the run times of tasks and requests.
type Size struct {
	EntryHosts            int
	Racks                 int
	WorkersPerRack        int
	AcceleratorsPerWorker int
	UpstreamsPerService   int
	TaskRunTime           time.Duration
	RequestRunTime        time.Duration
}

// DefaultSize returns a size that is large enough for the example documents.
func DefaultSize() Size {
	return Size{
		EntryHosts: 2, Racks: 4, WorkersPerRack: 6, AcceleratorsPerWorker: 8, UpstreamsPerService: 2,
		TaskRunTime: 1500 * time.Millisecond, RequestRunTime: 5 * time.Millisecond,
	}
}

// Options configure a Deployment.
type Options struct {
	FailureDomains []string
	Services       []string // services for which upstreams run
	Size           Size
	LogOutput      io.Writer // receives the logs of the entry hosts
	LogLevel       log.Level // of the entry hosts
}

// Deployment is a running set of entry hosts and stand-ins. Start returns one;
// Close stops it.
type Deployment struct {
	opts        Options
	store       *kv.Server     // the platform's stand-in
	platformURL string         // base URL of store
	hosts       []kvstore.Host // host list that store serves
	entryHosts  []*entryhost.Host
	upstreams   []*upstream.Upstream
	servers     []*http.Server
	group       errgroup.Group
	cancel      context.CancelFunc
}

// Start starts a deployment. The caller must close it.
func Start(ctx context.Context, o Options) (*Deployment, error) {
	d := &Deployment{opts: o, store: kv.New()}
	ctx, d.cancel = context.WithCancel(ctx)
	if err := d.start(ctx); err != nil {
		_ = d.Close()
		return nil, err
	}
	return d, nil
}

func (d *Deployment) start(ctx context.Context) error {
	address, err := d.serve(d.store)
	if err != nil {
		return err
	}
	d.platformURL = "http://" + address
	for _, fd := range d.opts.FailureDomains {
		if err := d.startWorkers(fd); err != nil {
			return err
		}
		if err := d.startUpstreams(fd); err != nil {
			return err
		}
		if err := d.addEntryHosts(fd); err != nil {
			return err
		}
	}
	d.store.SetHosts(d.hosts)
	for _, e := range d.entryHosts {
		d.group.Go(func() error { return e.Run(ctx) })
	}
	return nil
}

// serve starts an HTTP server on a free loopback port and returns its IP:port.
func (d *Deployment) serve(h http.Handler) (string, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", errors.Wrap(err, "listening on loopback")
	}
	server := &http.Server{Handler: h}
	d.servers = append(d.servers, server)
	go func() { _ = server.Serve(listener) }()
	return listener.Addr().String(), nil
}

func (d *Deployment) startWorkers(fd string) error {
	for r := range d.opts.Size.Racks {
		for w := range d.opts.Size.WorkersPerRack {
			host := kvstore.Host{
				Name:          fmt.Sprintf("%s-w%d%d", fd, r, w),
				Kind:          kvstore.Worker,
				FailureDomain: fd,
				Rack:          fmt.Sprintf("%s-r%d", fd, r),
				Accelerators:  d.opts.Size.AcceleratorsPerWorker,
			}
			server := worker.New(worker.Options{Name: host.Name, Accelerators: host.Accelerators, RunTime: d.runTime})
			address, err := d.serve(server)
			if err != nil {
				return err
			}
			host.Address = address
			d.hosts = append(d.hosts, host)
		}
	}
	return nil
}

// runTime returns the run time of a task; 0: until it is stopped.
func (d *Deployment) runTime(g workerapi.Gang, _ int) time.Duration {
	name := g.Job[strings.LastIndex(g.Job, "/")+1:]
	if strings.HasPrefix(name, untilStoppedPrefix) {
		return 0
	}
	return d.opts.Size.TaskRunTime
}

func (d *Deployment) startUpstreams(fd string) error {
	for _, service := range d.opts.Services {
		for u := range d.opts.Size.UpstreamsPerService {
			host := kvstore.Host{
				Name:          fmt.Sprintf("%s-%s-u%d", fd, service, u),
				Kind:          kvstore.Upstream,
				FailureDomain: fd,
				Service:       service,
				Slots:         8,
				Connections:   60,
			}
			server := upstream.New(upstream.Options{Name: host.Name, Slots: host.Slots, Work: d.opts.Size.RequestRunTime})
			address, err := d.serve(server)
			if err != nil {
				return err
			}
			host.Address = address
			d.upstreams = append(d.upstreams, server)
			d.hosts = append(d.hosts, host)
		}
	}
	return nil
}

func (d *Deployment) addEntryHosts(fd string) error {
	for e := range d.opts.Size.EntryHosts {
		host, err := d.newEntryHost(fmt.Sprintf("%s-e%d", fd, e), fd)
		if err != nil {
			return err
		}
		d.entryHosts = append(d.entryHosts, host)
		d.hosts = append(d.hosts, host.Self())
	}
	return nil
}

func (d *Deployment) newEntryHost(name, fd string) (*entryhost.Host, error) {
	httpListener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, errors.Wrap(err, "listening on loopback")
	}
	peerListener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, errors.Wrap(err, "listening on loopback")
	}
	s, err := d.entryHostSettings(name, fd, httpListener.Addr(), peerListener.Addr())
	if err != nil {
		return nil, err
	}
	logger := log.NewWithOptions(d.opts.LogOutput, log.Options{Level: d.opts.LogLevel}).With("host", name)
	return entryhost.New(entryhost.Options{Settings: s, HTTP: httpListener, Peer: peerListener, Logger: logger})
}

func (d *Deployment) entryHostSettings(name, fd string, httpAddress, peerAddress net.Addr) (*settings.Settings, error) {
	text := fmt.Sprintf(`{
		"host": {"name": %q, "failureDomain": %q, "region": "region-1"},
		"listen": {"http": %q, "peer": %q},
		"platform": {"urls": [%q]},
		"operatorTokenHashes": [%q],
		"timing": {"drainWaitSeconds": 0},
	}`, name, fd, httpAddress, peerAddress, d.platformURL, auth.HashToken(OperatorToken))
	return settings.Parse("dev", []byte(text))
}

// EntryHostURLs returns the base URLs of the entry hosts.
func (d *Deployment) EntryHostURLs() []string {
	urls := make([]string, 0, len(d.entryHosts))
	for _, e := range d.entryHosts {
		urls = append(urls, "http://"+e.Address())
	}
	return urls
}

// PlatformURL returns the base URL of the platform's stand-in.
func (d *Deployment) PlatformURL() string { return d.platformURL }

// Close drains the entry hosts and stops the stand-ins.
func (d *Deployment) Close() error {
	d.cancel()
	err := d.group.Wait()
	for _, s := range d.servers {
		_ = s.Close()
	}
	return err
}

// Executions returns how many requests with an idempotency key the upstreams
// executed.
func (d *Deployment) Executions(key string) int {
	total := 0
	for _, u := range d.upstreams {
		total += u.ExecutionsByKey()[key]
	}
	return total
}
