// Package settings reads the settings of one entry host from a file of JSON with
// comments, and validates all of them before any is used. The entry host loads
// them when it starts; the command line validates and describes them. The
// package holds no state besides the schema of the fields.
package settings

import (
	"encoding/json"
	"io"
	"os"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/cyclamentray/cyclamentray/apierr"
	"github.com/cyclamentray/cyclamentray/internal/schema"
	"github.com/cyclamentray/cyclamentray/kvstore"
)

// Settings are the settings of one entry host. Names that end in Millis or
// Seconds state their unit.
type Settings struct {
	Host      Host      `json:"host"`
	Listen    Addresses `json:"listen"`
	Advertise Addresses `json:"advertise"`
	Platform  Platform  `json:"platform"`
	Seeds     []string  `json:"seeds"`               // peer addresses, IP:port, asked for hosts and documents while the platform cannot be reached
	Operators []string  `json:"operatorTokenHashes"` // SHA-256 of operators' tokens, lower-case hexadecimal
	TLS       TLS       `json:"tls"`
	Trace     Trace     `json:"trace"`
	Log       Log       `json:"log"`
	Limits    Limits    `json:"limits"`
	Timing    Timing    `json:"timing"`
}

// Host is the name and location of this host.
type Host struct {
	Name          string `json:"name"`
	FailureDomain string `json:"failureDomain"`
	Region        string `json:"region"`
	Rack          string `json:"rack"`
}

// Addresses are IP:port of the HTTP listener and of the net/rpc listener.
type Addresses struct {
	HTTP string `json:"http"`
	Peer string `json:"peer"`
}

// Platform locates the platform's services.
type Platform struct {
	URLs []string `json:"urls"` // tried in turn
}

// TLS holds the key files of both listeners.
type TLS struct {
	HTTP          KeyFiles `json:"http"` // for callers and operators
	Peer          KeyFiles `json:"peer"` // between entry hosts, with mutual TLS
	ReloadSeconds int      `json:"reloadSeconds"`
}

// ReloadInterval is the time between checks for changed key files.
func (t TLS) ReloadInterval() time.Duration { return time.Duration(t.ReloadSeconds) * time.Second }

// KeyFiles names the PEM files of one listener. All empty: plain TCP.
type KeyFiles struct {
	CertFile string `json:"certFile"`
	KeyFile  string `json:"keyFile"`
	CAFile   string `json:"caFile"`
}

// Enabled reports whether the listener uses TLS.
func (k KeyFiles) Enabled() bool { return k.CertFile != "" }

// Exporter is the destination of spans.
type Exporter string

// Values of Exporter.
const (
	ExportNone   Exporter = "none"
	ExportStdout Exporter = "stdout"
	ExportOTLP   Exporter = "otlp"
)

// Trace configures tracing: which requests are sampled and where spans are sent.
type Trace struct {
	Exporter      Exporter `json:"exporter"`
	Endpoint      string   `json:"endpoint"` // URL of an OTLP collector over HTTP
	SamplePercent int      `json:"samplePercent"`
}

// Log configures logging.
type Log struct {
	Level string `json:"level"`
}

// Limits are the size limits of one host.
type Limits struct {
	DocumentBytes int `json:"documentBytes"` // largest request body of an operator's edit
}

// Load reads and checks a settings file.
func Load(path string) (*Settings, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		e := apierr.Invalid("", err.Error(), "name a file that can be read")
		e.File = path
		return nil, e
	}
	return Parse(path, data)
}

// Parse checks settings and fills in defaults. The error is an *apierr.Error
// with every mistake found.
func Parse(name string, data []byte) (*Settings, error) {
	src, bad := schema.Read(name, data)
	if bad != nil {
		return nil, bad
	}
	result := src.Check(&src.Root, &settingsSchema, "")
	if len(result.Mistakes) > 0 {
		return nil, apierr.Join(result.Mistakes)
	}
	s := &Settings{}
	if err := json.Unmarshal(result.JSON, s); err != nil {
		return nil, errors.Wrap(err, "decode checked settings")
	}
	if mistakes := s.check(name, result.Lines); len(mistakes) > 0 {
		return nil, apierr.Join(mistakes)
	}
	return s, nil
}

// Describe writes a table of every field with its type, unit, default, range and
// description.
func Describe(w io.Writer) error { return schema.Describe(w, &settingsSchema) }

// Self returns this host's entry in the platform's host list.
func (s *Settings) Self() kvstore.Host {
	return kvstore.Host{
		Name:          s.Host.Name,
		Kind:          kvstore.EntryHost,
		FailureDomain: s.Host.FailureDomain,
		Rack:          s.Host.Rack,
		Address:       s.Advertise.HTTP,
		PeerAddress:   s.Advertise.Peer,
	}
}
