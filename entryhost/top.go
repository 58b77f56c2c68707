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

// showTop replies from heartbeats and the schedulers' summaries. It makes no call to
// the platform, so that operators can see the deployment during a platform outage.
func (h *Host) showTop(w http.ResponseWriter, r *http.Request) error {
	top := api.Top{Hosts: h.hostStatuses(), FailureDomains: h.failureDomainStatuses(r.Context())}
	httpjson.Write(w, http.StatusOK, top)
	return nil
}

// hostStatuses returns the last reported status of each entry host, this one first.
func (h *Host) hostStatuses() []api.HostStatus {
	own := h.components.heartbeatStatus()
	statuses := []api.HostStatus{{
		Name:          h.opts.Settings.Host.Name,
		FailureDomain: h.opts.Settings.Host.FailureDomain,
		Revision:      own.Revision,
		ConfirmedAge:  own.RevisionAge,
		Term:          own.Term,
		Draining:      !h.ready.Load(),
	}}
	view := h.components.membership.View()
	others := view.Select(func(p kvstore.Host) bool {
		return p.Kind == kvstore.EntryHost && p.Name != view.Self.Name
	})
	for _, p := range others {
		statuses = append(statuses, h.peerStatus(p))
	}
	return statuses
}

func (h *Host) peerStatus(p kvstore.Host) api.HostStatus {
	result := api.HostStatus{Name: p.Name, FailureDomain: p.FailureDomain, Draining: p.Leaving}
	status, received := h.components.membership.Statuses()[p.Name]
	if !received {
		result.UnreachableReason = "no heartbeat from it yet"
		return result
	}
	result.HeartbeatAge = h.opts.Now().Sub(status.At)
	result.Revision = status.Revision
	result.ConfirmedAge = status.RevisionAge + result.HeartbeatAge
	result.Term = status.Term
	if h.components.membership.View().Silent[p.Name] {
		result.UnreachableReason = "it does not answer"
	}
	return result
}

func (h *Host) failureDomainStatuses(ctx context.Context) []api.FailureDomainStatus {
	snap, _ := h.components.config.Current()
	statuses := make([]api.FailureDomainStatus, 0, len(snap.FailureDomains))
	for _, fd := range snap.FailureDomains {
		statuses = append(statuses, h.failureDomainStatus(ctx, fd))
	}
	sort.Slice(statuses, func(i, j int) bool { return statuses[i].Name < statuses[j].Name })
	return statuses
}

func (h *Host) failureDomainStatus(ctx context.Context, fd config.FailureDomain) api.FailureDomainStatus {
	status := api.FailureDomainStatus{Name: fd.Name, Out: fd.Out}
	for _, w := range h.components.membership.View().Workers(fd.Name) {
		status.Workers++
		status.Accelerators += usableAccelerators(w)
	}
	summary, scheduler, err := h.schedulerSummary(ctx, fd.Name)
	status.Scheduler = scheduler
	if err != nil {
		status.UnknownReason = err.Error()
		return status
	}
	status.Queued = summary.Queued
	status.Running = summary.Running
	for _, d := range summary.Deficits {
		status.Deficits = append(status.Deficits, describeDeficit(d))
	}
	return status
}

// usableAccelerators returns the number of a worker's accelerators, or 0 if the worker
// is leaving.
func usableAccelerators(w kvstore.Host) int {
	if w.Leaving {
		return 0
	}
	return w.Accelerators
}

// schedulerSummary returns the summary and the name of a failure domain's scheduler,
// which may be this host.
func (h *Host) schedulerSummary(ctx context.Context, failureDomain string) (summary gang.Summary, scheduler string, err error) {
	found, ok := h.components.schedulerOf(failureDomain)
	switch {
	case !ok:
		return summary, "", fmt.Errorf("no scheduler is known; see the page on platform outages")
	case found.Name == h.opts.Settings.Host.Name:
		return h.components.scheduler.Summary(), found.Name, nil
	}
	summary, err = h.components.scheduler.SummaryOf(ctx, found.PeerAddress)
	return summary, found.Name, err
}

func describeDeficit(d placement.Deficit) string {
	s := d.Shape
	return fmt.Sprintf("%s lacks %d of %d x %d accelerators: %s", d.Organisation, d.Missing, s.Tasks, s.AcceleratorsPerTask, d.Reason)
}
