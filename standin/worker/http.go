package worker

import (
	"encoding/json"
	"net/http"

	"github.com/cyclamentray/cyclamentray/workerapi"
)

// ServeHTTP serves the worker's HTTP API.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if s.opts.BeforeMessage != nil {
		if err := s.opts.BeforeMessage(r.URL.Path); err != nil {
			panic(http.ErrAbortHandler)
		}
	}
	switch r.URL.Path {
	case workerapi.PathReserve:
		serveJSON(s, w, r, s.Reserve)
	case workerapi.PathStart:
		serveJSON(s, w, r, s.Start)
	case workerapi.PathRenew:
		serveJSON(s, w, r, s.Renew)
	case workerapi.PathRelease:
		serveJSON(s, w, r, s.Release)
	case workerapi.PathCheckpoint:
		serveJSON(s, w, r, s.Checkpoint)
	case workerapi.PathStop:
		serveJSON(s, w, r, s.Stop)
	case workerapi.PathTasks:
		s.writeReply(w, r, s.Tasks())
	default:
		http.NotFound(w, r)
	}
}

func serveJSON[Req, Rep any](s *Server, w http.ResponseWriter, r *http.Request, handle func(Req) Rep) {
	var req Req
	if err := json.NewDecoder(r.Body).Decode(&req); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	s.writeReply(w, r, handle(req))
}

func (s *Server) writeReply(w http.ResponseWriter, r *http.Request, reply any) {
	if s.opts.AfterMessage != nil {
		if err := s.opts.AfterMessage(r.URL.Path); err != nil {
			panic(http.ErrAbortHandler)
		}
	}
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(reply)
}
