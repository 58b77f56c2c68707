package settings

import (
	"net/netip"

	"github.com/cyclamentray/cyclamentray/apierr"
)

// checker collects the mistakes that involve several fields.
type checker struct {
	file     string
	lines    map[string]int
	mistakes []*apierr.Error
}

func (c *checker) addMistake(field, message, remedy string) {
	e := apierr.Invalid(field, message, remedy)
	e.File = c.file
	e.Line = c.lines[field]
	c.mistakes = append(c.mistakes, e)
}

// check validates the fields that depend on each other, and fills in advertised
// addresses that are left empty.
func (s *Settings) check(file string, lines map[string]int) []*apierr.Error {
	c := &checker{file: file, lines: lines}
	s.fillAdvertisedAddresses(c)
	c.checkKeyFiles("tls.http", s.TLS.HTTP, false)
	c.checkKeyFiles("tls.peer", s.TLS.Peer, true)
	if s.Trace.Exporter == ExportOTLP && s.Trace.Endpoint == "" {
		c.addMistake("trace.endpoint", "exporter otlp needs an endpoint", "write the collector's URL, such as http://192.0.2.9:4318/v1/traces")
	}
	return c.mistakes
}

func (s *Settings) fillAdvertisedAddresses(c *checker) {
	c.fillAdvertised("advertise.http", &s.Advertise.HTTP, s.Listen.HTTP)
	c.fillAdvertised("advertise.peer", &s.Advertise.Peer, s.Listen.Peer)
}

// fillAdvertised sets an empty advertised address to the listen address, and
// checks that other hosts can connect to it. Port 0 is allowed only if the address
// equals the listen address: the listener's port then replaces it once known.
func (c *checker) fillAdvertised(field string, address *string, listen string) {
	if *address == "" {
		*address = listen
	}
	ap, err := netip.ParseAddrPort(*address)
	if err != nil {
		return // the schema has already reported it
	}
	if ap.Addr().IsUnspecified() || (ap.Port() == 0 && *address != listen) {
		c.addMistake(field, *address+" is no address that others can reach", "write the host's own IP:port")
	}
}

func (c *checker) checkKeyFiles(field string, k KeyFiles, mutual bool) {
	if (k.CertFile == "") != (k.KeyFile == "") {
		c.addMistake(field, "certFile and keyFile go together", "set both or neither")
	}
	if mutual && k.Enabled() && k.CAFile == "" {
		c.addMistake(field+".caFile", "entry hosts check each other's certificates against caFile", "name the file of the authority's certificates")
	}
}
