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

// PeerName is the DNS name in every entry host's certificate. Hosts may be
// replaced at any time, so their certificates do not contain addresses.
const PeerName = "cyclamentray-entry"

// KeyOptions configure the Keys of one listener.
type KeyOptions struct {
	Listener string // "http" or "peer", for logs and metrics
	CertFile string // PEM file, as are KeyFile and CAFile
	KeyFile  string
	CAFile   string        // empty: no client certificate is required
	Interval time.Duration // between checks for changed files
	Logger   *log.Logger
	Metrics  *metrics.Set
}

// Keys holds a listener's certificate and certificate authorities, and reloads
// changed files without a restart. It is safe for concurrent use.
type Keys struct {
	options        KeyOptions
	reloadFailures *metrics.Counter

	mu      sync.Mutex
	files   [3][]byte // contents of CertFile, KeyFile and CAFile that current was parsed from
	current *keySet
}

// keySet is the parsed content of the key files. It is immutable once published.
type keySet struct {
	certificate *tls.Certificate
	authorities *x509.CertPool // nil: none
	expires     time.Time
}

// LoadKeys reads the files of o. It returns an error unless all of them are valid.
func LoadKeys(o KeyOptions) (*Keys, error) {
	label := `{listener="` + o.Listener + `"}`
	k := &Keys{options: o, reloadFailures: o.Metrics.GetOrCreateCounter("cyclamentray_auth_key_reload_failures_total" + label)}
	if _, err := k.Reload(); err != nil {
		return nil, err
	}
	o.Metrics.GetOrCreateGauge("cyclamentray_auth_certificate_expires_seconds"+label, func() float64 {
		return float64(k.currentKeys().expires.Unix())
	})
	return k, nil
}

// Run checks for changed files every Interval until ctx ends. Invalid files
// leave the current keys in use, and the next check retries: certificate and key
// are replaced one after the other, so a check may see a pair that does not match.
func (k *Keys) Run(ctx context.Context) error {
	tick := time.NewTicker(k.options.Interval)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-tick.C:
			k.reloadIfChanged()
		}
	}
}

func (k *Keys) reloadIfChanged() {
	changed, err := k.Reload()
	switch {
	case err != nil:
		k.reloadFailures.Inc()
		k.options.Logger.Error("cannot load changed key files; keeping the previous keys", "listener", k.options.Listener, "err", err)
	case changed:
		k.options.Logger.Info("loaded changed key files", "listener", k.options.Listener, "expires", k.currentKeys().expires)
	}
}

// Reload reads the files and starts using them if they changed and are valid.
func (k *Keys) Reload() (changed bool, err error) {
	files, err := k.readFiles()
	if err != nil {
		return false, err
	}
	k.mu.Lock()
	defer k.mu.Unlock()
	if k.current != nil && equalContents(files, k.files) {
		return false, nil
	}
	next, err := k.parseFiles(files)
	if err != nil {
		return false, err
	}
	k.files, k.current = files, next
	return true, nil
}

func equalContents(a, b [3][]byte) bool {
	for i := range a {
		if !bytes.Equal(a[i], b[i]) {
			return false
		}
	}
	return true
}

func (k *Keys) readFiles() (files [3][]byte, err error) {
	for i, name := range []string{k.options.CertFile, k.options.KeyFile, k.options.CAFile} {
		if name == "" {
			continue
		}
		if files[i], err = os.ReadFile(name); err != nil {
			return files, keyFileError(name, err.Error())
		}
	}
	return files, nil
}

func (k *Keys) parseFiles(files [3][]byte) (*keySet, error) {
	pair, err := tls.X509KeyPair(files[0], files[1])
	if err != nil {
		return nil, keyFileError(k.options.CertFile, err.Error())
	}
	next := &keySet{certificate: &pair, expires: pair.Leaf.NotAfter}
	if files[2] == nil {
		return next, nil
	}
	next.authorities = x509.NewCertPool()
	if !next.authorities.AppendCertsFromPEM(files[2]) {
		return nil, keyFileError(k.options.CAFile, "holds no certificate")
	}
	return next, nil
}

func keyFileError(file, message string) *apierr.Error {
	e := apierr.Invalid("", message, "put matching PEM files of certificate, key and authorities in place")
	e.File = file
	return e
}

func (k *Keys) currentKeys() *keySet {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.current
}

// ServerConfig returns the TLS configuration of the HTTP listener. If
// KeyOptions.CAFile is set, callers must present a certificate signed by one of
// its authorities.
func (k *Keys) ServerConfig() *tls.Config {
	return &tls.Config{
		MinVersion: tls.VersionTLS13,
		GetConfigForClient: func(*tls.ClientHelloInfo) (*tls.Config, error) {
			return k.currentKeys().serverConfig(), nil
		},
	}
}

func (s *keySet) serverConfig() *tls.Config {
	c := &tls.Config{
		MinVersion:             tls.VersionTLS13,
		Certificates:           []tls.Certificate{*s.certificate},
		NextProtos:             []string{"http/1.1"},
		SessionTicketsDisabled: true, // a session ticket would remain valid after its authority is removed
	}
	if s.authorities != nil {
		c.ClientAuth = tls.RequireAndVerifyClientCert
		c.ClientCAs = s.authorities
	}
	return c
}

// PeerConfig returns the TLS configuration for both sides of a connection
// between entry hosts. Each side must present a certificate for PeerName signed
// by one of the authorities. It requires KeyOptions.CAFile.
func (k *Keys) PeerConfig() *tls.Config {
	return &tls.Config{
		MinVersion:             tls.VersionTLS13,
		SessionTicketsDisabled: true,
		GetCertificate: func(*tls.ClientHelloInfo) (*tls.Certificate, error) {
			return k.currentKeys().certificate, nil
		},
		GetClientCertificate: func(*tls.CertificateRequestInfo) (*tls.Certificate, error) {
			return k.currentKeys().certificate, nil
		},
		ClientAuth: tls.RequireAnyClientCert,
		// verifyPeer does the full verification on both sides against the
		// current authorities. RootCAs is fixed and would miss a reload.
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
		Roots:         k.currentKeys().authorities,
		Intermediates: intermediates,
		KeyUsages:     []x509.ExtKeyUsage{x509.ExtKeyUsageServerAuth, x509.ExtKeyUsageClientAuth},
	})
	return err
}
