package worker

import (
	"encoding/json"
	"net/http"

	"github.com/cyclamentray/cyclamentray/workerapi"
)

// ServeHTTP answers the worker's HTTP interface.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if s.o.BeforeMessage != nil {
		if err := s.o.BeforeMessage(r.URL.Path); err != nil {
			panic(http.ErrAbortHandler)
		}
	}
	switch r.URL.Path {
	case workerapi.PathReserve:
		serve(s, w, r, s.Reserve)
	case workerapi.PathStart:
		serve(s, w, r, s.Start)
	case workerapi.PathRenew:
		serve(s, w, r, s.Renew)
	case workerapi.PathRelease:
		serve(s, w, r, s.Release)
	case workerapi.PathCheckpoint:
		serve(s, w, r, s.Checkpoint)
	case workerapi.PathStop:
		serve(s, w, r, s.Stop)
	case workerapi.PathTasks:
		s.answer(w, r, s.Tasks())
	default:
		http.NotFound(w, r)
	}
}

func serve[Req, Rep any](s *Server, w http.ResponseWriter, r *http.Request, handle func(Req) Rep) {
	var req Req
	if err := json.NewDecoder(r.Body).Decode(&req); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	s.answer(w, r, handle(req))
}

func (s *Server) answer(w http.ResponseWriter, r *http.Request, reply any) {
	if s.o.AfterMessage != nil {
		if err := s.o.AfterMessage(r.URL.Path); err != nil {
			panic(http.ErrAbortHandler)
		}
	}
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(reply)
}
