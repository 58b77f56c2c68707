// Package client calls an entry host's HTTP interface for callers and operators.
// The command line, package dev and tests use it. A Client holds the host's
// address and a token, and no other state.
package client

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"net/url"
	"strings"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/cyclamentray/cyclamentray/api"
	"github.com/cyclamentray/cyclamentray/apierr"
	"github.com/cyclamentray/cyclamentray/internal/httpjson"
	"github.com/cyclamentray/cyclamentray/job"
	"github.com/cyclamentray/cyclamentray/telemetry"
)

const (
	callTimeout   = 30 * time.Second
	maxReplyBytes = 64 << 20
)

// Client calls one entry host. It is safe for concurrent use.
type Client struct {
	baseURL string
	token   string
	http    *http.Client
}

// New returns a client of the entry host at base, such as
// "http://127.0.0.1:7070", that authenticates with token.
func New(base, token string) *Client {
	transport := telemetry.Transport(http.DefaultTransport, "entry host")
	return NewWithHTTP(base, token, &http.Client{Transport: transport, Timeout: callTimeout})
}

// NewWithHTTP is like New but sends requests with hc, for instance to use TLS.
func NewWithHTTP(base, token string, hc *http.Client) *Client {
	return &Client{baseURL: strings.TrimSuffix(base, "/"), token: token, http: hc}
}

// Submit submits a job and returns its record. It is idempotent: submitting the
// same job again returns the record of the existing job.
func (c *Client) Submit(ctx context.Context, spec job.Spec) (job.Record, error) {
	var rec job.Record
	err := c.call(ctx, http.MethodPost, "/v1/jobs", spec, &rec)
	return rec, err
}

// Status returns a job's record.
func (c *Client) Status(ctx context.Context, id job.ID) (job.Record, error) {
	var rec job.Record
	err := c.call(ctx, http.MethodGet, jobPath(id), nil, &rec)
	return rec, err
}

// Jobs lists the jobs that the caller may see; an empty state lists all.
func (c *Client) Jobs(ctx context.Context, state job.State) (api.JobList, error) {
	var list api.JobList
	path := "/v1/jobs"
	if state != "" {
		path += "?state=" + url.QueryEscape(string(state))
	}
	err := c.call(ctx, http.MethodGet, path, nil, &list)
	return list, err
}

// Cancel requests the cancellation of a job and returns its record.
func (c *Client) Cancel(ctx context.Context, id job.ID) (job.Record, error) {
	var rec job.Record
	err := c.call(ctx, http.MethodDelete, jobPath(id), nil, &rec)
	return rec, err
}

// Explain returns why a job is waiting or how it ended.
func (c *Client) Explain(ctx context.Context, id job.ID) (api.Explanation, error) {
	var why api.Explanation
	err := c.call(ctx, http.MethodGet, jobPath(id)+"/explain", nil, &why)
	return why, err
}

// Apply puts documents in force atomically. It returns a Conflict error if another
// operator's edit came first.
func (c *Client) Apply(ctx context.Context, req api.ApplyRequest) (api.EditReply, error) {
	var reply api.EditReply
	err := c.call(ctx, http.MethodPost, "/v1/config", req, &reply)
	return reply, err
}

// Retire retires a service permanently.
func (c *Client) Retire(ctx context.Context, service string) (api.EditReply, error) {
	var reply api.EditReply
	err := c.call(ctx, http.MethodPost, "/v1/services/"+url.PathEscape(service)+"/retire", nil, &reply)
	return reply, err
}

// SetFailureDomain takes a failure domain out of service or brings it back.
func (c *Client) SetFailureDomain(ctx context.Context, name string, out bool) (api.EditReply, error) {
	action := "/in"
	if out {
		action = "/out"
	}
	var reply api.EditReply
	err := c.call(ctx, http.MethodPost, "/v1/failure-domains/"+url.PathEscape(name)+action, nil, &reply)
	return reply, err
}

// Config returns the documents in force on the entry host.
func (c *Client) Config(ctx context.Context) (api.ConfigReply, error) {
	var reply api.ConfigReply
	err := c.call(ctx, http.MethodGet, "/v1/config", nil, &reply)
	return reply, err
}

// Top returns the state of the deployment as seen by the entry host.
func (c *Client) Top(ctx context.Context) (api.Top, error) {
	var top api.Top
	err := c.call(ctx, http.MethodGet, "/v1/top", nil, &top)
	return top, err
}

// Outcome returns the outcome of the request with an idempotency key, as JSON.
func (c *Client) Outcome(ctx context.Context, service, key string) (json.RawMessage, error) {
	var raw json.RawMessage
	path := "/v1/services/" + url.PathEscape(service) + "/outcomes/" + url.PathEscape(key)
	err := c.call(ctx, http.MethodGet, path, nil, &raw)
	return raw, err
}

// Answer is the response to a request sent to a service. Outcome is the
// response's Cyclamentray-Outcome header.
type Answer struct {
	Status  int    `json:"status"`
	Outcome string `json:"outcome"`
	Body    []byte `json:"body"`
}

// Request sends a request to a service, with key as its idempotency key unless key
// is empty. If it is not known whether the request ran, the error is OutcomeUnknown.
func (c *Client) Request(ctx context.Context, method, service, path, key string, body []byte) (Answer, error) {
	target := "/v1/services/" + url.PathEscape(service) + "/requests/" + strings.TrimPrefix(path, "/")
	req, err := c.newRequest(ctx, method, target, body)
	if err != nil {
		return Answer{}, err
	}
	if key != "" {
		req.Header.Set(api.HeaderIdempotencyKey, key)
	}
	resp, err := c.http.Do(req)
	if err != nil {
		return Answer{}, noAnswerError(err)
	}
	defer resp.Body.Close()
	received, err := io.ReadAll(io.LimitReader(resp.Body, maxReplyBytes))
	if err != nil {
		return Answer{}, outcomeUnknownError("the answer was cut: " + err.Error())
	}
	return Answer{Status: resp.StatusCode, Outcome: resp.Header.Get(api.HeaderOutcome), Body: received}, nil
}

func jobPath(id job.ID) string {
	return "/v1/jobs/" + url.PathEscape(id.Organisation) + "/" + url.PathEscape(id.Service) + "/" + url.PathEscape(id.Name)
}

func (c *Client) newRequest(ctx context.Context, method, path string, body []byte) (*http.Request, error) {
	req, err := http.NewRequestWithContext(ctx, method, c.baseURL+path, bytes.NewReader(body))
	if err != nil {
		return nil, apierr.New(apierr.InvalidInput, err.Error(), "check the address and the path")
	}
	if c.token != "" {
		req.Header.Set("Authorization", "Bearer "+c.token)
	}
	return req, nil
}

func (c *Client) call(ctx context.Context, method, path string, args, reply any) error {
	var body []byte
	if args != nil {
		encoded, err := json.Marshal(args)
		if err != nil {
			return errors.Wrap(err, "encoding the request")
		}
		body = encoded
	}
	req, err := c.newRequest(ctx, method, path, body)
	if err != nil {
		return err
	}
	if args != nil {
		req.Header.Set("Content-Type", "application/json")
	}
	resp, err := c.http.Do(req)
	if err != nil {
		return unreachableError(err)
	}
	defer resp.Body.Close()
	return decodeReply(resp, reply)
}

func decodeReply(resp *http.Response, reply any) error {
	body, err := io.ReadAll(io.LimitReader(resp.Body, maxReplyBytes))
	if err != nil {
		return unreachableError(err)
	}
	if resp.StatusCode < http.StatusMultipleChoices {
		return errors.Wrap(json.Unmarshal(body, reply), "decoding the answer")
	}
	return httpjson.ReadError(resp.StatusCode, body)
}

func unreachableError(err error) error {
	return apierr.New(apierr.Unavailable, "no answer from the entry host: "+err.Error(),
		"check the address, or try another entry host")
}

// noAnswerError returns the error of a request without a response. Only a request
// whose connection could not be established is known not to have run.
func noAnswerError(err error) error {
	var op *net.OpError
	if errors.As(err, &op) && op.Op == "dial" {
		return unreachableError(err)
	}
	return outcomeUnknownError("no answer from the entry host: " + err.Error())
}

func outcomeUnknownError(message string) error {
	return apierr.New(apierr.OutcomeUnknown, message,
		"ask for the outcome of its idempotency key before sending it again")
}
