package entryhost

import (
	"net/http"

	"github.com/cyclamentray/cyclamentray/api"
	"github.com/cyclamentray/cyclamentray/apierr"
	"github.com/cyclamentray/cyclamentray/auth"
	"github.com/cyclamentray/cyclamentray/config"
	"github.com/cyclamentray/cyclamentray/internal/httpjson"
)

// registerOperatorAPI registers the calls that only operators may make.
func (h *Host) registerOperatorAPI(mux *http.ServeMux) {
	calls := map[string]func(w http.ResponseWriter, r *http.Request) error{
		"GET /v1/config":                      h.showConfig,
		"POST /v1/config":                     h.applyConfig,
		"POST /v1/services/{service}/retire":  h.retireService,
		"POST /v1/failure-domains/{name}/out": h.takeFailureDomainOut,
		"POST /v1/failure-domains/{name}/in":  h.bringFailureDomainIn,
		"GET /v1/top":                         h.showTop,
	}
	for pattern, call := range calls {
		mux.HandleFunc(pattern, operatorsOnly(call))
	}
}

// operatorsOnly returns a handler that refuses callers other than operators and writes
// the error of call, if any, as the response.
func operatorsOnly(call func(http.ResponseWriter, *http.Request) error) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		err := auth.RequireOperator(r.Context())
		if err == nil {
			err = call(w, r)
		}
		if err != nil {
			httpjson.WriteError(w, err)
		}
	}
}

func (h *Host) showConfig(w http.ResponseWriter, _ *http.Request) error {
	snap, _ := h.components.config.Current()
	httpjson.Write(w, http.StatusOK, api.ConfigReply{Revision: snap.Revision, Documents: snap.Documents(), Retired: snap.Retired})
	return nil
}

func (h *Host) applyConfig(w http.ResponseWriter, r *http.Request) error {
	var req api.ApplyRequest
	limit := int64(h.opts.Settings.Limits.DocumentBytes)
	if err := httpjson.Read(w, r, limit, &req); err != nil {
		return err
	}
	docs, err := parseDocuments(req)
	if err != nil {
		return err
	}
	expected := req.Expected
	if expected == 0 {
		snap, _ := h.components.config.Current()
		expected = snap.Revision
	}
	revision, err := h.components.editor.Apply(r.Context(), docs, expected)
	return writeEditReply(w, revision, err)
}

// parseDocuments parses and checks all documents, and returns every mistake found in
// them as one error.
func parseDocuments(req api.ApplyRequest) ([]config.Document, error) {
	var docs []config.Document
	var mistakes []*apierr.Error
	for _, raw := range req.Documents {
		parsed, err := config.ParseDocuments("request", raw)
		if err != nil {
			mistakes = append(mistakes, apierr.From(err))
		}
		docs = append(docs, parsed...)
	}
	if err := apierr.Join(mistakes); err != nil {
		return nil, err
	}
	if len(docs) == 0 {
		return nil, apierr.Invalid("documents", "holds no document", "send at least one document")
	}
	return docs, nil
}

func (h *Host) retireService(w http.ResponseWriter, r *http.Request) error {
	revision, err := h.components.editor.Retire(r.Context(), r.PathValue("service"))
	return writeEditReply(w, revision, err)
}

func (h *Host) takeFailureDomainOut(w http.ResponseWriter, r *http.Request) error {
	revision, err := h.components.editor.SetFailureDomain(r.Context(), r.PathValue("name"), true)
	return writeEditReply(w, revision, err)
}

func (h *Host) bringFailureDomainIn(w http.ResponseWriter, r *http.Request) error {
	revision, err := h.components.editor.SetFailureDomain(r.Context(), r.PathValue("name"), false)
	return writeEditReply(w, revision, err)
}

func writeEditReply(w http.ResponseWriter, revision uint64, err error) error {
	if err != nil {
		return err
	}
	httpjson.Write(w, http.StatusOK, api.EditReply{Revision: revision})
	return nil
}
