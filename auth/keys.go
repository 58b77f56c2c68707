package auth

import (
	"bytes"
	"context"
	"crypto/tls"
	"crypto/x509"
	"os"
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/charmbracelet/log"

	"github.com/cyclamentray/cyclamentray/apierr"
)

// PeerName is the DNS name that every entry host's certificate holds. Hosts are
// replaced at any time, so their certificates do not name addresses.
const PeerName = "cyclamentray-entry"

// KeyOptions name the PEM files of one listener.
type KeyOptions struct {
	Listener string // "http" or "peer", for logs and metrics
	CertFile string
	KeyFile  string
	CAFile   string // empty: the other side's certificate is not asked for
	Interval time.Duration
	Logger   *log.Logger
	Metrics  *metrics.Set
}

// Keys holds a listener's certificate and authorities, and takes up changed
// files without a restart. It is safe for concurrent use.
type Keys struct {
	options  KeyOptions
	failures *metrics.Counter

	mu      sync.Mutex
	files   [3][]byte // contents of the files of current
	current *keySet
}

// keySet is immutable once published.
type keySet struct {
	certificate *tls.Certificate
	authorities *x509.CertPool // nil: none
	expires     time.Time
}

// LoadKeys reads the files; all of them must be good.
func LoadKeys(o KeyOptions) (*Keys, error) {
	label := `{listener="` + o.Listener + `"}`
	k := &Keys{options: o, failures: o.Metrics.GetOrCreateCounter("cyclamentray_auth_key_reload_failures_total" + label)}
	if _, err := k.Reload(); err != nil {
		return nil, err
	}
	o.Metrics.GetOrCreateGauge("cyclamentray_auth_certificate_expires_seconds"+label, func() float64 {
		return float64(k.keys().expires.Unix())
	})
	return k, nil
}

// Run looks for changed files until ctx ends. Bad files leave the keys as they
// were: a pair may be half replaced, so the next look tries again.
func (k *Keys) Run(ctx context.Context) error {
	tick := time.NewTicker(k.options.Interval)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-tick.C:
			k.look()
		}
	}
}

func (k *Keys) look() {
	changed, err := k.Reload()
	switch {
	case err != nil:
		k.failures.Inc()
		k.options.Logger.Error("cannot take up changed keys; the old ones stay in use", "listener", k.options.Listener, "err", err)
	case changed:
		k.options.Logger.Info("took up changed keys", "listener", k.options.Listener, "expires", k.keys().expires)
	}
}

// Reload reads the files and puts them in use if they changed and are good.
func (k *Keys) Reload() (changed bool, err error) {
	files, err := k.read()
	if err != nil {
		return false, err
	}
	k.mu.Lock()
	defer k.mu.Unlock()
	if k.current != nil && same(files, k.files) {
		return false, nil
	}
	next, err := k.parse(files)
	if err != nil {
		return false, err
	}
	k.files, k.current = files, next
	return true, nil
}

func same(a, b [3][]byte) bool {
	for i := range a {
		if !bytes.Equal(a[i], b[i]) {
			return false
		}
	}
	return true
}

func (k *Keys) read() (files [3][]byte, err error) {
	for i, name := range []string{k.options.CertFile, k.options.KeyFile, k.options.CAFile} {
		if name == "" {
			continue
		}
		if files[i], err = os.ReadFile(name); err != nil {
			return files, badKeys(name, err.Error())
		}
	}
	return files, nil
}

func (k *Keys) parse(files [3][]byte) (*keySet, error) {
	pair, err := tls.X509KeyPair(files[0], files[1])
	if err != nil {
		return nil, badKeys(k.options.CertFile, err.Error())
	}
	next := &keySet{certificate: &pair, expires: pair.Leaf.NotAfter}
	if files[2] == nil {
		return next, nil
	}
	next.authorities = x509.NewCertPool()
	if !next.authorities.AppendCertsFromPEM(files[2]) {
		return nil, badKeys(k.options.CAFile, "holds no certificate")
	}
	return next, nil
}

func badKeys(file, message string) *apierr.Error {
	e := apierr.Invalid("", message, "put matching PEM files of certificate, key and authorities in place")
	e.File = file
	return e
}

func (k *Keys) keys() *keySet {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.current
}

// ServerConfig returns the TLS configuration of the HTTP listener. With a file
// of authorities, callers must show a certificate that one of them signed.
func (k *Keys) ServerConfig() *tls.Config {
	return &tls.Config{
		MinVersion: tls.VersionTLS13,
		GetConfigForClient: func(*tls.ClientHelloInfo) (*tls.Config, error) {
			return k.keys().serverConfig(), nil
		},
	}
}

func (s *keySet) serverConfig() *tls.Config {
	c := &tls.Config{
		MinVersion:             tls.VersionTLS13,
		Certificates:           []tls.Certificate{*s.certificate},
		NextProtos:             []string{"http/1.1"},
		SessionTicketsDisabled: true, // a ticket would outlive a withdrawn authority
	}
	if s.authorities != nil {
		c.ClientAuth = tls.RequireAndVerifyClientCert
		c.ClientCAs = s.authorities
	}
	return c
}

// PeerConfig returns the TLS configuration of both sides of a connection
// between entry hosts. Each side must show a certificate for PeerName that an
// authority signed. It needs KeyOptions.CAFile.
func (k *Keys) PeerConfig() *tls.Config {
	return &tls.Config{
		MinVersion:             tls.VersionTLS13,
		SessionTicketsDisabled: true,
		GetCertificate: func(*tls.ClientHelloInfo) (*tls.Certificate, error) {
			return k.keys().certificate, nil
		},
		GetClientCertificate: func(*tls.CertificateRequestInfo) (*tls.Certificate, error) {
			return k.keys().certificate, nil
		},
		ClientAuth: tls.RequireAnyClientCert,
		// verifyPeer does the whole check on both sides, against the
		// authorities in force at that moment, which RootCAs cannot follow.
		InsecureSkipVerify: true,
		VerifyConnection:   k.verifyPeer,
	}
}

func (k *Keys) verifyPeer(state tls.ConnectionState) error {
	if len(state.PeerCertificates) == 0 {
		return apierr.New(apierr.Unauthenticated, "peer shows no certificate", "set tls.peer on every entry host")
	}
	intermediates := x509.NewCertPool()
	for _, c := range state.PeerCertificates[1:] {
		intermediates.AddCert(c)
	}
	_, err := state.PeerCertificates[0].Verify(x509.VerifyOptions{
		DNSName:       PeerName,
		Roots:         k.keys().authorities,
		Intermediates: intermediates,
		KeyUsages:     []x509.ExtKeyUsage{x509.ExtKeyUsageServerAuth, x509.ExtKeyUsageClientAuth},
	})
	return err
}
