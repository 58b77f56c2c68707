package entryhost

import (
	"context"
	"fmt"
	"net/http"
	"sort"

	"github.com/cyclamentray/cyclamentray/api"
	"github.com/cyclamentray/cyclamentray/config"
	"github.com/cyclamentray/cyclamentray/gang"
	"github.com/cyclamentray/cyclamentray/internal/httpjson"
	"github.com/cyclamentray/cyclamentray/kvstore"
	"github.com/cyclamentray/cyclamentray/placement"
)

// showTop answers from heartbeats and from the schedulers, without the
// platform, so that operators see the deployment also during an outage.
func (h *Host) showTop(w http.ResponseWriter, r *http.Request) error {
	top := api.Top{Hosts: h.hostStatuses(), FailureDomains: h.failureDomainStatuses(r.Context())}
	httpjson.Write(w, http.StatusOK, top)
	return nil
}

// hostStatuses tells what each entry host last said of itself, this one first.
func (h *Host) hostStatuses() []api.HostStatus {
	own := h.slices.status()
	statuses := []api.HostStatus{{
		Name:          h.opts.Settings.Host.Name,
		FailureDomain: h.opts.Settings.Host.FailureDomain,
		Revision:      own.Revision,
		ConfirmedAge:  own.RevisionAge,
		Term:          own.Term,
		Draining:      !h.ready.Load(),
	}}
	view := h.slices.membership.View()
	others := view.Select(func(p kvstore.Host) bool {
		return p.Kind == kvstore.EntryHost && p.Name != view.Self.Name
	})
	for _, p := range others {
		statuses = append(statuses, h.peerStatus(p))
	}
	return statuses
}

func (h *Host) peerStatus(p kvstore.Host) api.HostStatus {
	line := api.HostStatus{Name: p.Name, FailureDomain: p.FailureDomain, Draining: p.Leaving}
	status, heard := h.slices.membership.Statuses()[p.Name]
	if !heard {
		line.UnreachableReason = "no heartbeat from it yet"
		return line
	}
	line.HeartbeatAge = h.opts.Now().Sub(status.At)
	line.Revision = status.Revision
	line.ConfirmedAge = status.RevisionAge + line.HeartbeatAge
	line.Term = status.Term
	if h.slices.membership.View().Silent[p.Name] {
		line.UnreachableReason = "it does not answer"
	}
	return line
}

func (h *Host) failureDomainStatuses(ctx context.Context) []api.FailureDomainStatus {
	snap, _ := h.slices.config.Current()
	statuses := make([]api.FailureDomainStatus, 0, len(snap.FailureDomains))
	for _, fd := range snap.FailureDomains {
		statuses = append(statuses, h.failureDomainStatus(ctx, fd))
	}
	sort.Slice(statuses, func(i, j int) bool { return statuses[i].Name < statuses[j].Name })
	return statuses
}

func (h *Host) failureDomainStatus(ctx context.Context, fd config.FailureDomain) api.FailureDomainStatus {
	status := api.FailureDomainStatus{Name: fd.Name, Out: fd.Out}
	for _, w := range h.slices.membership.View().Workers(fd.Name) {
		status.Workers++
		status.Accelerators += usable(w)
	}
	sum, scheduler, err := h.summary(ctx, fd.Name)
	status.Scheduler = scheduler
	if err != nil {
		status.UnknownReason = err.Error()
		return status
	}
	status.Queued = sum.Queued
	status.Running = sum.Running
	for _, d := range sum.Deficits {
		status.Deficits = append(status.Deficits, describeDeficit(d))
	}
	return status
}

// usable returns a worker's accelerators, none of them when it is leaving.
func usable(w kvstore.Host) int {
	if w.Leaving {
		return 0
	}
	return w.Accelerators
}

// summary asks the scheduler of a failure domain, which may be this host.
func (h *Host) summary(ctx context.Context, failureDomain string) (sum gang.Summary, scheduler string, err error) {
	found, ok := h.slices.schedulerOf(failureDomain)
	switch {
	case !ok:
		return sum, "", fmt.Errorf("no scheduler is known; see the page on platform outages")
	case found.Name == h.opts.Settings.Host.Name:
		return h.slices.scheduler.Summary(), found.Name, nil
	}
	sum, err = h.slices.scheduler.SummaryOf(ctx, found.PeerAddress)
	return sum, found.Name, err
}

func describeDeficit(d placement.Deficit) string {
	s := d.Shape
	return fmt.Sprintf("%s lacks %d of %d x %d accelerators: %s", d.Organisation, d.Missing, s.Tasks, s.AcceleratorsPerTask, d.Reason)
}
