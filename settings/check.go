package settings

import (
	"fmt"
	"net/netip"

	"github.com/cyclamentray/cyclamentray/apierr"
)

// maxLateStartMillis bounds how long after operators take a failure domain out
// a task may still start there.
const maxLateStartMillis = 4000

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
	c.timing(s.Timing)
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

// timing checks that each interval leaves room for at least two tries within
// the lease or permit that depends on it.
func (c *checker) timing(t Timing) {
	c.twice("timing.heartbeatMillis", t.HeartbeatMillis, "timing.heartbeatTimeoutMillis", t.HeartbeatTimeoutMillis)
	c.twice("timing.taskRenewMillis", t.TaskRenewMillis, "timing.taskLeaseMillis", t.TaskLeaseMillis)
	c.twice("timing.confirmMillis", t.ConfirmMillis, "timing.permitMillis", t.PermitMillis)
	if late := t.PermitMillis + t.ReservationMillis; late > maxLateStartMillis {
		message := fmt.Sprintf("with reservationMillis, a task could start %d ms after its failure domain was taken out", late)
		c.add("timing.permitMillis", message, fmt.Sprintf("keep their sum within %d ms", maxLateStartMillis))
	}
}

func (c *checker) twice(interval string, every int, limit string, within int) {
	if 2*every <= within {
		return
	}
	message := fmt.Sprintf("%d ms is more than half of %s, which is %d ms", every, limit, within)
	c.add(interval, message, "shorten it, or lengthen "+limit)
}
