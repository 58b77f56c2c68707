package gang

import (
	"time"

	"github.com/cyclamentray/cyclamentray/apierr"
	"github.com/cyclamentray/cyclamentray/config"
	"github.com/cyclamentray/cyclamentray/election"
)

// MaxConfigAge is the maximum age of the configuration's last confirmation at
// which a start is permitted. The age counts from before the platform was asked.
const MaxConfigAge = 2 * time.Second

// Permit decides whether this host may send a start request now.
type Permit struct {
	FailureDomain string
	Config        config.Source
	Election      election.Holder
}

// Check returns nil when a start under the term may be sent now. It is called
// again immediately before each start request.
func (p Permit) Check(now time.Time, term uint64) error {
	current, until, held := p.Election.Term()
	if !held || current != term || !now.Before(until) {
		return apierr.New(apierr.Unavailable,
			"this host no longer schedules the failure domain", "wait for the new scheduler to take over")
	}
	snap, confirmed := p.Config.Current()
	if now.Sub(confirmed) > MaxConfigAge {
		return apierr.New(apierr.Unavailable,
			"the configuration was not confirmed lately", "wait until the platform answers again")
	}
	d, known := snap.FailureDomains[p.FailureDomain]
	if !known || d.Out {
		return apierr.New(apierr.Unavailable,
			"the failure domain is out of service", "bring it back in, or submit to another")
	}
	return nil
}
