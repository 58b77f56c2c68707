package entryhost_test

import (
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/tls"
	"crypto/x509"
	"encoding/json"
	"encoding/pem"
	"fmt"
	"io"
	"math/big"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"testing"
	"time"

	"github.com/charmbracelet/log"
	"github.com/shoenig/test/must"
	"github.com/shoenig/test/wait"
	"golang.org/x/sync/errgroup"

	"github.com/cyclamentray/cyclamentray/api"
	"github.com/cyclamentray/cyclamentray/auth"
	"github.com/cyclamentray/cyclamentray/entryhost"
	"github.com/cyclamentray/cyclamentray/kvstore"
	"github.com/cyclamentray/cyclamentray/settings"
	"github.com/cyclamentray/cyclamentray/standin/kv"
)

// authority is a certificate authority that signs entry hosts' certificates.
type authority struct {
	cert *x509.Certificate
	key  *ecdsa.PrivateKey
}

func newAuthority(t *testing.T) *authority {
	a := &authority{key: newKey(t)}
	template := &x509.Certificate{
		SerialNumber: big.NewInt(1), NotAfter: time.Now().Add(time.Hour),
		IsCA: true, BasicConstraintsValid: true, KeyUsage: x509.KeyUsageCertSign,
	}
	a.cert = sign(t, template, template, a.key, a.key)
	return a
}

func newKey(t *testing.T) *ecdsa.PrivateKey {
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	must.NoError(t, err)
	return key
}

func sign(t *testing.T, template, parent *x509.Certificate, key, signer *ecdsa.PrivateKey) *x509.Certificate {
	der, err := x509.CreateCertificate(rand.Reader, template, parent, key.Public(), signer)
	must.NoError(t, err)
	cert, err := x509.ParseCertificate(der)
	must.NoError(t, err)
	return cert
}

// writeKeyFiles writes a new certificate and key of an entry host, signed by a, and the
// certificate of the authority that this host trusts.
func (a *authority) writeKeyFiles(t *testing.T, trusted *authority) settings.KeyFiles {
	key := newKey(t)
	cert := sign(t, &x509.Certificate{
		SerialNumber: big.NewInt(2), NotAfter: time.Now().Add(time.Hour),
		DNSNames: []string{auth.PeerName}, IPAddresses: []net.IP{net.IPv4(127, 0, 0, 1)},
		ExtKeyUsage: []x509.ExtKeyUsage{x509.ExtKeyUsageServerAuth, x509.ExtKeyUsageClientAuth},
	}, a.cert, key, a.key)
	der, err := x509.MarshalECPrivateKey(key)
	must.NoError(t, err)
	dir := t.TempDir()
	write := func(name, kind string, der []byte) string {
		file := filepath.Join(dir, name)
		must.NoError(t, os.WriteFile(file, pem.EncodeToMemory(&pem.Block{Type: kind, Bytes: der}), 0o600))
		return file
	}
	return settings.KeyFiles{
		CertFile: write("cert.pem", "CERTIFICATE", cert.Raw),
		KeyFile:  write("key.pem", "EC PRIVATE KEY", der),
		CAFile:   write("ca.pem", "CERTIFICATE", trusted.cert.Raw),
	}
}

// newTLSHost returns an entry host whose two listeners use the given key files.
func newTLSHost(t *testing.T, name, platformURL string, files settings.KeyFiles) *entryhost.Host {
	s, err := settings.Parse("test", fmt.Appendf(nil, `{
		"host": {"name": %q, "failureDomain": "fd-a", "region": "east"},
		"listen": {"http": "127.0.0.1:0", "peer": "127.0.0.1:0"},
		"platform": {"urls": [%q]},
		"operatorTokenHashes": [%q],
		"tls": {"http": {"certFile": %q, "keyFile": %q}, "peer": {"certFile": %q, "keyFile": %q, "caFile": %q}},
		"timing": {"drainWaitSeconds": 0},
	}`, name, platformURL, auth.HashToken(operatorToken), files.CertFile, files.KeyFile, files.CertFile, files.KeyFile, files.CAFile))
	must.NoError(t, err)
	h, err := entryhost.New(entryhost.Options{Settings: s, Logger: log.New(io.Discard)})
	must.NoError(t, err)
	return h
}

// Entry hosts whose certificates have one authority exchange heartbeats. Guards against
// accepting heartbeats from a host whose certificate has another authority, although
// the host list names it, and against plain text on the peer listener. The caller reads
// the state over TLS too.
func TestTLS_OnlyHostsOfOneAuthorityExchangeHeartbeats(t *testing.T) {
	ours, theirs := newAuthority(t), newAuthority(t)
	store := kv.New()
	kvServer := httptest.NewServer(store)
	t.Cleanup(kvServer.Close)
	hosts := map[string]*entryhost.Host{
		"good-1":   newTLSHost(t, "good-1", kvServer.URL, ours.writeKeyFiles(t, ours)),
		"good-2":   newTLSHost(t, "good-2", kvServer.URL, ours.writeKeyFiles(t, ours)),
		"stranger": newTLSHost(t, "stranger", kvServer.URL, theirs.writeKeyFiles(t, ours)),
	}
	var list []kvstore.Host
	var group errgroup.Group
	for name, h := range hosts {
		list = append(list, kvstore.Host{Name: name, Kind: kvstore.EntryHost, FailureDomain: "fd-a", Address: h.Address(), PeerAddress: h.PeerAddress()})
		group.Go(func() error { return h.Run(t.Context()) })
	}
	store.SetHosts(list)
	t.Cleanup(func() { must.NoError(t, group.Wait()) })

	pool := x509.NewCertPool()
	pool.AddCert(ours.cert)
	caller := &http.Client{Transport: &http.Transport{TLSClientConfig: &tls.Config{RootCAs: pool}, DisableKeepAlives: true}}
	reached := func() map[string]bool { return reachedHosts(t, caller, "https://"+hosts["good-1"].Address()) }
	must.Wait(t, wait.InitialSuccess(wait.BoolFunc(func() bool { return reached()["good-2"] }), wait.Timeout(time.Minute), wait.Gap(50*time.Millisecond)))
	must.Wait(t, wait.ContinualSuccess(wait.BoolFunc(func() bool { return !reached()["stranger"] }), wait.Timeout(2500*time.Millisecond), wait.Gap(250*time.Millisecond)))

	_, err := http.Get("http://" + hosts["good-2"].PeerAddress())
	must.Error(t, err, must.Sprint("the peer listener accepted plain HTTP"))
}

// reachedHosts returns, by name, whether the host at url reports each entry host as
// reached.
func reachedHosts(t *testing.T, c *http.Client, url string) map[string]bool {
	r, err := http.NewRequestWithContext(t.Context(), "GET", url+"/v1/top", nil)
	must.NoError(t, err)
	r.Header.Set("Authorization", "Bearer "+operatorToken)
	resp, err := c.Do(r)
	must.NoError(t, err)
	defer func() { _ = resp.Body.Close() }()
	var top api.Top
	must.NoError(t, json.NewDecoder(resp.Body).Decode(&top))
	reached := map[string]bool{}
	for _, h := range top.Hosts {
		reached[h.Name] = h.UnreachableReason == ""
	}
	return reached
}
