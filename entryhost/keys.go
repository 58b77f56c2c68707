package entryhost

import (
	"crypto/tls"

	"github.com/cyclamentray/cyclamentray/auth"
	"github.com/cyclamentray/cyclamentray/settings"
)

// listenerKeys holds the TLS keys of each listener; nil if the listener uses no TLS.
type listenerKeys struct {
	http *auth.Keys
	peer *auth.Keys
}

func (h *Host) loadKeys() error {
	t := h.opts.Settings.TLS
	var err error
	if t.HTTP.Enabled() {
		if h.keys.http, err = auth.LoadKeys(h.keyOptions("http", t.HTTP)); err != nil {
			return err
		}
	}
	if t.Peer.Enabled() {
		if h.keys.peer, err = auth.LoadKeys(h.keyOptions("peer", t.Peer)); err != nil {
			return err
		}
	}
	return nil
}

func (h *Host) keyOptions(listener string, files settings.KeyFiles) auth.KeyOptions {
	return auth.KeyOptions{
		Listener: listener,
		CertFile: files.CertFile,
		KeyFile:  files.KeyFile,
		CAFile:   files.CAFile,
		Interval: h.opts.Settings.TLS.ReloadInterval(),
		Logger:   h.opts.Logger.WithPrefix("auth"),
		Metrics:  h.opts.Metrics,
	}
}

// peerTLS returns the TLS configuration of connections between entry hosts, or nil for
// plain TCP.
func (h *Host) peerTLS() *tls.Config {
	if h.keys.peer == nil {
		return nil
	}
	return h.keys.peer.PeerConfig()
}
