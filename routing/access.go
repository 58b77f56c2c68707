package routing

import (
	"net/http"
	"slices"

	"github.com/cyclamentray/cyclamentray/apierr"
	"github.com/cyclamentray/cyclamentray/auth"
	"github.com/cyclamentray/cyclamentray/config"
)

// errNotFound is returned both for an unknown service and for one that the caller
// may not call, so that callers cannot find out which services exist.
func errNotFound() *apierr.Error {
	return apierr.New(apierr.NotFound, "no such service", "check the service's name and the token")
}

// authorise returns the caller's identity and the requested service, or an error
// when the caller may not call it. An error of kind Retired comes with the
// service's last document.
func (r *Router) authorise(req *http.Request) (auth.Identity, config.Service, *apierr.Error) {
	id, err := auth.RequireIdentity(req.Context())
	if err != nil {
		return id, config.Service{}, apierr.From(err)
	}
	snap, _ := r.opts.Config.Current()
	name := req.PathValue("service")
	if service, retired := snap.RetiredServices[name]; retired {
		if !mayCall(id, service) {
			return id, config.Service{}, errNotFound()
		}
		return id, service, apierr.New(apierr.Retired, "the service is retired", "call its successor, or ask its team")
	}
	service, found := snap.Services[name]
	if !found || !mayCall(id, service) {
		return id, config.Service{}, errNotFound()
	}
	if service.Requests == nil {
		return id, config.Service{}, apierr.New(apierr.InvalidInput, "the service takes no requests", "add a requests section to its document")
	}
	return id, service, nil
}

// mayCall reports whether the caller is an operator, or its organisation owns the
// service or is named in its shareWith.
func mayCall(id auth.Identity, s config.Service) bool {
	if id.MaySee(s.Organisation) {
		return true
	}
	return s.Requests != nil && id.Organisation != "" && slices.Contains(s.Requests.ShareWith, id.Organisation)
}
