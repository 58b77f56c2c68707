package gang

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/cyclamentray/cyclamentray/telemetry"
	"github.com/cyclamentray/cyclamentray/workerapi"
)

const (
	workerCallTimeout     = time.Second // of one call to a worker
	maxWorkerReplyBytes   = 1 << 20
	maxIdleConnsPerWorker = 2
)

// WorkerCaller calls the workerapi path of the worker at address. args is the
// request, nil for workerapi.PathTasks; the worker's reply is decoded into
// reply, a pointer. Implementations are safe for concurrent use.
type WorkerCaller interface {
	Call(ctx context.Context, address, path string, args, reply any) error
}

// HTTPWorkerCaller is a WorkerCaller over HTTP.
type HTTPWorkerCaller struct {
	client  *http.Client
	timeout time.Duration
}

// NewHTTPWorkerCaller returns an HTTPWorkerCaller with its own connection pool.
func NewHTTPWorkerCaller() *HTTPWorkerCaller {
	transport := &http.Transport{
		DialContext:         (&net.Dialer{Timeout: workerCallTimeout}).DialContext,
		MaxIdleConnsPerHost: maxIdleConnsPerWorker,
		IdleConnTimeout:     time.Minute,
	}
	return &HTTPWorkerCaller{client: &http.Client{Transport: telemetry.Transport(transport, "worker")}, timeout: workerCallTimeout}
}

// Close closes idle connections.
func (h *HTTPWorkerCaller) Close() { h.client.CloseIdleConnections() }

// Call implements WorkerCaller.
func (h *HTTPWorkerCaller) Call(ctx context.Context, address, path string, args, reply any) error {
	ctx, cancel := context.WithTimeout(ctx, h.timeout)
	defer cancel()
	req, err := newWorkerRequest(ctx, address, path, args)
	if err != nil {
		return err
	}
	resp, err := h.client.Do(req)
	if err != nil {
		return err
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(io.LimitReader(resp.Body, maxWorkerReplyBytes))
	if err != nil {
		return errors.Wrap(err, "reading the worker's answer")
	}
	if resp.StatusCode != http.StatusOK {
		return errors.Newf("worker at %s answered status %d to %s", address, resp.StatusCode, path)
	}
	return errors.Wrap(json.Unmarshal(body, reply), "reading the worker's answer")
}

func newWorkerRequest(ctx context.Context, address, path string, args any) (*http.Request, error) {
	target := "http://" + address + path
	if path == workerapi.PathTasks {
		return http.NewRequestWithContext(ctx, http.MethodGet, target, nil)
	}
	body, err := json.Marshal(args)
	if err != nil {
		return nil, err
	}
	return http.NewRequestWithContext(ctx, http.MethodPost, target, bytes.NewReader(body))
}
