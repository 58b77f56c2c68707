package routing

import (
	"net/http"
	"slices"

	"github.com/cyclamentray/cyclamentray/apierr"
	"github.com/cyclamentray/cyclamentray/auth"
	"github.com/cyclamentray/cyclamentray/config"
)

// errNotFound answers both an unknown service and one that the caller may not
// call, so that a refused caller learns nothing.
func errNotFound() *apierr.Error {
	return apierr.New(apierr.NotFound, "no such service", "check the service's name and the token")
}

// authorise returns the service that req calls when its sender may call it.
func (r *Router) authorise(req *http.Request) (config.Service, *apierr.Error) {
	id, ok := auth.FromContext(req.Context())
	if !ok {
		return config.Service{}, apierr.New(apierr.Unauthenticated, "no valid token", "send Authorization: Bearer TOKEN")
	}
	snap, _ := r.opts.Config.Current()
	service, found := snap.Services[req.PathValue("service")]
	if !found || !mayCall(id, service) {
		return config.Service{}, errNotFound()
	}
	if _, retired := snap.Retired[service.Name]; retired {
		return config.Service{}, apierr.New(apierr.Retired, "the service is retired", "call its successor, or ask its team")
	}
	if service.Requests == nil {
		return config.Service{}, apierr.New(apierr.InvalidInput, "the service takes no requests", "add a requests section to its document")
	}
	return service, nil
}

// mayCall reports whether the sender's organisation owns the service or is
// named in its shareWith.
func mayCall(id auth.Identity, s config.Service) bool {
	if id.MaySee(s.Organisation) {
		return true
	}
	return s.Requests != nil && id.Organisation != "" && slices.Contains(s.Requests.ShareWith, id.Organisation)
}
