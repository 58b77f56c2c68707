package auth

import (
	"context"
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/tls"
	"crypto/x509"
	"crypto/x509/pkix"
	"encoding/pem"
	"io"
	"math/big"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"testing"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/charmbracelet/log"
	"github.com/shoenig/test/must"
	"github.com/shoenig/test/wait"
)

// authority signs certificates for tests.
type authority struct {
	cert *x509.Certificate
	key  *ecdsa.PrivateKey
	pem  []byte
}

func newAuthority(t *testing.T) *authority {
	key := newKey(t)
	template := &x509.Certificate{
		SerialNumber: big.NewInt(1), Subject: pkix.Name{CommonName: "test authority"},
		NotAfter: time.Now().Add(time.Hour), IsCA: true, BasicConstraintsValid: true,
		KeyUsage: x509.KeyUsageCertSign,
	}
	der, err := x509.CreateCertificate(rand.Reader, template, template, key.Public(), key)
	must.NoError(t, err)
	cert, err := x509.ParseCertificate(der)
	must.NoError(t, err)
	return &authority{cert: cert, key: key, pem: encodePEM("CERTIFICATE", der)}
}

func newKey(t *testing.T) *ecdsa.PrivateKey {
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	must.NoError(t, err)
	return key
}

func encodePEM(kind string, der []byte) []byte {
	return pem.EncodeToMemory(&pem.Block{Type: kind, Bytes: der})
}

// issue returns a certificate for name and 127.0.0.1, and its private key.
func (a *authority) issue(t *testing.T, serial int64, name string) (cert, key []byte) {
	k := newKey(t)
	template := &x509.Certificate{
		SerialNumber: big.NewInt(serial), DNSNames: []string{name}, IPAddresses: []net.IP{net.IPv4(127, 0, 0, 1)},
		NotAfter:    time.Now().Add(time.Hour),
		ExtKeyUsage: []x509.ExtKeyUsage{x509.ExtKeyUsageServerAuth, x509.ExtKeyUsageClientAuth},
	}
	der, err := x509.CreateCertificate(rand.Reader, template, a.cert, k.Public(), a.key)
	must.NoError(t, err)
	keyDER, err := x509.MarshalECPrivateKey(k)
	must.NoError(t, err)
	return encodePEM("CERTIFICATE", der), encodePEM("EC PRIVATE KEY", keyDER)
}

// writeKeyFiles writes PEM files and returns options that name them.
func writeKeyFiles(t *testing.T, cert, key, ca []byte) KeyOptions {
	dir := t.TempDir()
	o := KeyOptions{
		Listener: "test", Interval: time.Millisecond, Logger: log.New(io.Discard), Metrics: metrics.NewSet(),
		CertFile: filepath.Join(dir, "cert.pem"), KeyFile: filepath.Join(dir, "key.pem"),
	}
	writeFile(t, o.CertFile, cert)
	writeFile(t, o.KeyFile, key)
	if ca != nil {
		o.CAFile = filepath.Join(dir, "ca.pem")
		writeFile(t, o.CAFile, ca)
	}
	return o
}

func writeFile(t *testing.T, file string, data []byte) {
	must.NoError(t, os.WriteFile(file, data, 0o600))
}

func loadKeys(t *testing.T, o KeyOptions) *Keys {
	k, err := LoadKeys(o)
	must.NoError(t, err)
	return k
}

// handshake connects two peers and returns the error of each side.
func handshake(t *testing.T, server, client *Keys) (serverErr, clientErr error) {
	l, err := tls.Listen("tcp", "127.0.0.1:0", server.PeerConfig())
	must.NoError(t, err)
	defer func() { _ = l.Close() }()
	done := make(chan error, 1)
	go func() {
		conn, err := l.Accept()
		if err == nil {
			_, err = conn.Write([]byte("x"))
			_ = conn.Close()
		}
		done <- err
	}()
	conn, clientErr := tls.Dial("tcp", l.Addr().String(), client.PeerConfig())
	if clientErr == nil {
		_, clientErr = conn.Read(make([]byte, 1)) // fails if the server rejected the client's certificate
		_ = conn.Close()
	}
	return <-done, clientErr
}

func TestPeerConfig_BothSidesVerifyCertificates(t *testing.T) {
	ours, theirs := newAuthority(t), newAuthority(t)
	host := func(signer *authority, name string) *Keys {
		cert, key := signer.issue(t, 1, name)
		return loadKeys(t, writeKeyFiles(t, cert, key, ours.pem))
	}
	good, good2 := host(ours, PeerName), host(ours, PeerName)
	untrusted, wrongName := host(theirs, PeerName), host(ours, "upstream")

	serverErr, clientErr := handshake(t, good, good2)
	must.NoError(t, serverErr)
	must.NoError(t, clientErr)
	for _, bad := range []*Keys{untrusted, wrongName} {
		serverErr, _ = handshake(t, good, bad)
		must.Error(t, serverErr, must.Sprint("the server accepted an invalid client certificate"))
		_, clientErr = handshake(t, bad, good)
		must.Error(t, clientErr, must.Sprint("the client accepted an invalid server certificate"))
	}
}

func TestKeys_ReloadsChangedFilesWithoutRestart(t *testing.T) {
	ca := newAuthority(t)
	cert, key := ca.issue(t, 1, "entry")
	o := writeKeyFiles(t, cert, key, nil)
	k := loadKeys(t, o)
	ctx, stop := context.WithCancel(t.Context())
	ended := make(chan error, 1)
	go func() { ended <- k.Run(ctx) }()

	server := httptest.NewUnstartedServer(http.NotFoundHandler())
	server.TLS = k.ServerConfig()
	server.StartTLS()
	defer server.Close()
	must.Eq(t, 1, servedSerial(t, ca, server))

	cert, key = ca.issue(t, 2, "entry")
	writeFile(t, o.CertFile, cert) // does not match key.pem yet: the old pair stays in use
	must.Wait(t, wait.InitialSuccess(wait.BoolFunc(func() bool { return k.reloadFailures.Get() > 0 }), wait.Timeout(time.Minute), wait.Gap(time.Millisecond)))
	must.Eq(t, 1, servedSerial(t, ca, server))

	writeFile(t, o.KeyFile, key)
	must.Wait(t, wait.InitialSuccess(wait.BoolFunc(func() bool { return servedSerial(t, ca, server) == 2 }), wait.Timeout(time.Minute), wait.Gap(time.Millisecond)))
	stop()
	must.NoError(t, <-ended)
}

// servedSerial returns the serial number of the certificate that a new connection sees.
func servedSerial(t *testing.T, ca *authority, server *httptest.Server) int64 {
	pool := x509.NewCertPool()
	pool.AddCert(ca.cert)
	conn, err := tls.Dial("tcp", server.Listener.Addr().String(), &tls.Config{RootCAs: pool})
	must.NoError(t, err)
	defer func() { _ = conn.Close() }()
	return conn.ConnectionState().PeerCertificates[0].SerialNumber.Int64()
}

func TestServerConfig_RequiresClientCertificateWhenCAFileIsSet(t *testing.T) {
	ca := newAuthority(t)
	cert, key := ca.issue(t, 1, "entry")
	server := httptest.NewUnstartedServer(http.NotFoundHandler())
	server.Config.ErrorLog = log.New(io.Discard).StandardLog()
	server.TLS = loadKeys(t, writeKeyFiles(t, cert, key, ca.pem)).ServerConfig()
	server.StartTLS()
	defer server.Close()

	pool := x509.NewCertPool()
	pool.AddCert(ca.cert)
	pair, err := tls.X509KeyPair(cert, key)
	must.NoError(t, err)
	get := func(c *tls.Config) error {
		resp, err := (&http.Client{Transport: &http.Transport{TLSClientConfig: c, DisableKeepAlives: true}}).Get(server.URL)
		if err == nil {
			_ = resp.Body.Close()
		}
		return err
	}
	must.NoError(t, get(&tls.Config{RootCAs: pool, Certificates: []tls.Certificate{pair}}))
	must.Error(t, get(&tls.Config{RootCAs: pool}))
}

func TestLoadKeys_ErrorNamesTheFileAndRemedy(t *testing.T) {
	ca := newAuthority(t)
	cert, key := ca.issue(t, 1, "entry")
	_, err := LoadKeys(writeKeyFiles(t, cert, []byte("no key"), nil))
	must.ErrorContains(t, err, "cert.pem")
	_, err = LoadKeys(writeKeyFiles(t, cert, key, []byte("no certificate")))
	must.ErrorContains(t, err, "ca.pem: holds no certificate; put matching PEM files")
}
