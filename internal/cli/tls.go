package cli

import (
	"crypto/tls"
	"crypto/x509"
	"net/http"
	"os"
	"time"

	"github.com/cyclamentray/cyclamentray/apierr"
)

const httpsTimeout = 30 * time.Second

// httpsClient returns an HTTP client that trusts only the certificates in file.
func httpsClient(file string) (*http.Client, error) {
	data, err := os.ReadFile(file)
	if err != nil {
		return nil, apierr.Invalid("--ca", err.Error(), "name a file that can be read")
	}
	pool := x509.NewCertPool()
	if !pool.AppendCertsFromPEM(data) {
		return nil, apierr.Invalid("--ca", "holds no certificate", "name a file of PEM certificates")
	}
	transport := &http.Transport{TLSClientConfig: &tls.Config{RootCAs: pool, MinVersion: tls.VersionTLS13}}
	return &http.Client{Transport: transport, Timeout: httpsTimeout}, nil
}
