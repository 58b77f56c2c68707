package kv

import (
	"encoding/json"
	"net/http"
	"strconv"
	"time"

	"github.com/cyclamentray/cyclamentray/kvstore"
)

// hostList is the host list and its index, which increases with every change.
type hostList struct {
	hosts   []kvstore.Host
	index   uint64
	changed chan struct{} // closed and replaced at every change
}

// SetHosts replaces the host list, after Faults.HostLag.
func (s *Server) SetHosts(hosts []kvstore.Host) {
	s.mu.Lock()
	lag := s.faults.HostLag
	s.mu.Unlock()
	hosts = append([]kvstore.Host(nil), hosts...)
	if lag <= 0 {
		s.publishHosts(hosts)
		return
	}
	time.AfterFunc(lag, func() { s.publishHosts(hosts) })
}

func (s *Server) publishHosts(hosts []kvstore.Host) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.hosts.hosts = hosts
	s.hosts.index++
	close(s.hosts.changed)
	s.hosts.changed = make(chan struct{})
}

func (s *Server) serveHosts(w http.ResponseWriter, r *http.Request) {
	s.countCall("hosts")
	if r.Method == http.MethodPut {
		var hosts []kvstore.Host
		if err := json.NewDecoder(r.Body).Decode(&hosts); err != nil {
			http.Error(w, err.Error(), http.StatusBadRequest)
			return
		}
		s.SetHosts(hosts)
		return
	}
	after, blocking := parseIndex(r)
	if blocking && s.blockSilentWatch(r) {
		return
	}
	list := s.waitHosts(r, after, blocking)
	w.Header().Set("X-Consul-Index", strconv.FormatUint(list.index, 10))
	if blocking && list.index == after {
		w.WriteHeader(http.StatusNotModified)
		return
	}
	writeJSON(w, list.hosts)
}

// waitHosts returns the list once its index differs from after, or when the
// wait ends. If the call is not blocking, it returns at once.
func (s *Server) waitHosts(r *http.Request, after uint64, blocking bool) hostList {
	timer := time.NewTimer(waitLimit(r))
	defer timer.Stop()
	for {
		s.mu.Lock()
		list := s.hosts
		s.mu.Unlock()
		if !blocking || list.index != after {
			return list
		}
		select {
		case <-list.changed:
		case <-timer.C:
			return list
		case <-r.Context().Done():
			return list
		}
	}
}
