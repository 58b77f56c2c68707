package settings

import (
	"net/netip"

	"github.com/cyclamentray/cyclamentray/apierr"
)

// checker gathers the mistakes that concern several fields at once.
type checker struct {
	file     string
	lines    map[string]int
	mistakes []*apierr.Error
}

func (c *checker) add(field, message, remedy string) {
	e := apierr.Invalid(field, message, remedy)
	e.File = c.file
	e.Line = c.lines[field]
	c.mistakes = append(c.mistakes, e)
}

// check finds mistakes between fields, and fills in addresses that follow from
// others.
func (s *Settings) check(file string, lines map[string]int) []*apierr.Error {
	c := &checker{file: file, lines: lines}
	s.fillAdvertise(c)
	c.keyFiles("tls.http", s.TLS.HTTP, false)
	c.keyFiles("tls.peer", s.TLS.Peer, true)
	if s.Trace.Exporter == ExportOTLP && s.Trace.Endpoint == "" {
		c.add("trace.endpoint", "exporter otlp needs an endpoint", "write the collector's URL, such as http://192.0.2.9:4318/v1/traces")
	}
	return c.mistakes
}

func (s *Settings) fillAdvertise(c *checker) {
	c.advertised("advertise.http", &s.Advertise.HTTP, s.Listen.HTTP)
	c.advertised("advertise.peer", &s.Advertise.Peer, s.Listen.Peer)
}

// advertised fills in an address and checks that others can reach it. Port 0
// is allowed only where the listener's own port, once known, takes its place.
func (c *checker) advertised(field string, address *string, listen string) {
	if *address == "" {
		*address = listen
	}
	ap, err := netip.ParseAddrPort(*address)
	if err != nil {
		return // reported by the field's own check
	}
	if ap.Addr().IsUnspecified() || (ap.Port() == 0 && *address != listen) {
		c.add(field, *address+" is no address that others can reach", "write the host's own IP:port")
	}
}

func (c *checker) keyFiles(field string, k KeyFiles, mutual bool) {
	if (k.CertFile == "") != (k.KeyFile == "") {
		c.add(field, "certFile and keyFile go together", "set both or neither")
	}
	if mutual && k.Enabled() && k.CAFile == "" {
		c.add(field+".caFile", "entry hosts check each other's certificates against caFile", "name the file of the authority's certificates")
	}
}
