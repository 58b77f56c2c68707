package entryhost

import (
	"net/http"

	"github.com/cyclamentray/cyclamentray/api"
	"github.com/cyclamentray/cyclamentray/apierr"
	"github.com/cyclamentray/cyclamentray/auth"
	"github.com/cyclamentray/cyclamentray/config"
	"github.com/cyclamentray/cyclamentray/internal/httpjson"
)

// registerOperators adds the calls that only operators may make.
func (h *Host) registerOperators(mux *http.ServeMux) {
	calls := map[string]func(w http.ResponseWriter, r *http.Request) error{
		"GET /v1/config":                      h.showConfig,
		"POST /v1/config":                     h.applyConfig,
		"POST /v1/services/{service}/retire":  h.retireService,
		"POST /v1/failure-domains/{name}/out": h.takeOut,
		"POST /v1/failure-domains/{name}/in":  h.bringIn,
		"GET /v1/top":                         h.showTop,
	}
	for pattern, call := range calls {
		mux.HandleFunc(pattern, operatorsOnly(call))
	}
}

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
	snap, _ := h.slices.config.Current()
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
		snap, _ := h.slices.config.Current()
		expected = snap.Revision
	}
	revision, err := h.slices.editor.Apply(r.Context(), docs, expected)
	return answerEdit(w, revision, err)
}

// parseDocuments checks each document whole and reports every mistake.
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
	revision, err := h.slices.editor.Retire(r.Context(), r.PathValue("service"))
	return answerEdit(w, revision, err)
}

func (h *Host) takeOut(w http.ResponseWriter, r *http.Request) error {
	revision, err := h.slices.editor.SetFailureDomain(r.Context(), r.PathValue("name"), true)
	return answerEdit(w, revision, err)
}

func (h *Host) bringIn(w http.ResponseWriter, r *http.Request) error {
	revision, err := h.slices.editor.SetFailureDomain(r.Context(), r.PathValue("name"), false)
	return answerEdit(w, revision, err)
}

func answerEdit(w http.ResponseWriter, revision uint64, err error) error {
	if err != nil {
		return err
	}
	httpjson.Write(w, http.StatusOK, api.EditReply{Revision: revision})
	return nil
}
