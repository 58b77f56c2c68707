package soak

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"sync"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/cyclamentray/cyclamentray/batch"
	"github.com/cyclamentray/cyclamentray/internal/steady"
	"github.com/cyclamentray/cyclamentray/platform/standin"
	"github.com/cyclamentray/cyclamentray/standin/runner"
)

const (
	connectionsPerHost = 2
	// requestSpacing is the mean time between two requests on all kept connections together.
	requestSpacing = 10 * time.Millisecond
	connectPause   = 100 * time.Millisecond // between two attempts to connect
	// patience is longer than a process lives that was told to stop.
	patience      = gracePeriod + time.Second
	bodyPause     = 300 * time.Millisecond // between the halves of a body that arrives in parts
	submitOdds    = 40                     // one request in submitOdds submits a job
	slowBodyOdds  = 3                      // one submission in slowBodyOdds arrives in parts
	pendingOdds   = 4                      // one request in pendingOdds asks for the pending jobs
	connectionRNG = 100                    // first of the random streams of kept connections
)

// keepConnections keeps connections open to every host until ctx ends, and sends request
// after request on each until the connection or the process is gone.
func (r *soakRun) keepConnections(ctx context.Context) {
	var clients sync.WaitGroup
	for i := range connectionsPerHost * len(r.deployment.hosts) {
		h := r.deployment.hosts[i/connectionsPerHost]
		rng := rand.New(rand.NewPCG(r.opts.Seed, uint64(connectionRNG+i)))
		clients.Go(func() { r.keepConnection(ctx, h, rng) })
	}
	clients.Wait()
}

// keepConnection connects to a host anew whenever the connection ends, until ctx ends.
func (r *soakRun) keepConnection(ctx context.Context, h *hostProcess, rng *rand.Rand) {
	for ctx.Err() == nil {
		c, err := dialClient(h.apiAddress)
		if err != nil {
			sleep(ctx, connectPause) // the process is gone or stops
			continue
		}
		stop := context.AfterFunc(ctx, c.close)
		r.useConnection(ctx, c, h, rng)
		stop()
		c.close()
	}
}

// useConnection sends request after request until the connection ends or a request stays
// without an answer.
func (r *soakRun) useConnection(ctx context.Context, c *connectionClient, h *hostProcess, rng *rand.Rand) {
	spacing := requestSpacing * time.Duration(connectionsPerHost*len(r.deployment.hosts))
	for ctx.Err() == nil && !c.ended {
		var answer clientAnswer
		if rng.IntN(submitOdds) == 0 {
			answer = r.submitOn(c, rng)
		} else {
			answer = r.askOn(c, rng)
		}
		switch {
		case answer.status != 0:
			r.checker.RecordAnswer()
		case answer.lost && ctx.Err() == nil:
			r.checker.CheckLostAnswer(h.name, answer.sent, answer.ended)
		}
		sleep(ctx, time.Duration(rng.Int64N(int64(2*spacing))))
	}
}

// submitOn submits a short job once.
func (r *soakRun) submitOn(c *connectionClient, rng *rand.Rand) clientAnswer {
	id, spec, _, _ := r.newJob()
	task := runner.Task{Work: 200 * time.Millisecond, Request: batch.Resources{MilliCPU: 10}}
	body := r.stepBody(spec, batch.Step{Tasks: 1, Request: task.Request, Estimate: task.Work})
	r.checker.RecordSubmission(id, spec, 1)
	r.deployment.setJob(id, spec, task)
	pause := time.Duration(0)
	if rng.IntN(slowBodyOdds) == 0 {
		pause = bodyPause
	}
	answer := c.request("POST", r.deployment.name, "/q0/"+id, body, pause)
	r.checker.RecordSubmissionAnswer(id, answer.status, steady.Now())
	if answer.status == http.StatusOK {
		r.mu.Lock()
		r.jobs = append(r.jobs, id)
		r.mu.Unlock()
	}
	return answer
}

// askOn asks for the state of a job or the number of pending ones.
func (r *soakRun) askOn(c *connectionClient, rng *rand.Rand) clientAnswer {
	r.mu.Lock()
	id := ""
	if len(r.jobs) > 0 && rng.IntN(pendingOdds) != 0 {
		id = r.jobs[rng.IntN(len(r.jobs))]
	}
	r.mu.Unlock()
	asked := steady.Now()
	answer := c.request("GET", r.deployment.name, "/q0/"+id, "", 0)
	if id != "" {
		r.checkStateAnswer(id, answer.status, answer.body, asked)
	}
	return answer
}

// connectionClient sends requests on one connection, one after the other.
type connectionClient struct {
	conn   net.Conn
	reader *bufio.Reader
	ended  bool
}

func dialClient(address string) (*connectionClient, error) {
	conn, err := net.DialTimeout("tcp", address, patience)
	if err != nil {
		return nil, err
	}
	return &connectionClient{conn: conn, reader: bufio.NewReader(conn)}, nil
}

// clientAnswer is the outcome of one request on a connection.
type clientAnswer struct {
	status int // 0: no complete answer was received
	body   string
	lost   bool        // the host has read the whole request, and didn't answer it before the end
	sent   steady.Time // when the last byte was sent; 0: it wasn't
	ended  steady.Time // when the answer was complete, the connection ended, or the caller gave up
}

// request sends a request, with a pause in the middle of its body, and waits for its answer.
// Without an answer, the connection has ended.
func (c *connectionClient) request(method, name, path, body string, pause time.Duration) clientAnswer {
	if err := c.send(method, name, path, body, pause); err != nil {
		c.ended = true
		return clientAnswer{ended: steady.Now()}
	}
	answer := clientAnswer{sent: steady.Now()}
	status, body, err := c.receive()
	answer.status, answer.body, answer.ended = status, body, steady.Now()
	if err != nil {
		answer.lost = c.wasRead(err)
		c.ended = true
	}
	return answer
}

func (c *connectionClient) send(method, name, path, body string, pause time.Duration) error {
	header := fmt.Sprintf("%s %s HTTP/1.1\r\nHost: %s\r\n%s: %s\r\nContent-Length: %d\r\n\r\n", method, path, name, standin.APIKeyHeader, name, len(body))
	half := len(body) / 2
	if pause == 0 {
		half = len(body)
	}
	if _, err := io.WriteString(c.conn, header+body[:half]); err != nil {
		return err
	}
	if half == len(body) {
		return nil
	}
	time.Sleep(pause)
	_, err := io.WriteString(c.conn, body[half:])
	return err
}

// receive reads an answer. It returns its status and its body once it is complete.
func (c *connectionClient) receive() (int, string, error) {
	if err := c.conn.SetReadDeadline(time.Now().Add(patience)); err != nil {
		return 0, "", err
	}
	if _, err := c.reader.Peek(1); err != nil {
		return 0, "", err
	}
	resp, err := http.ReadResponse(c.reader, nil)
	if err != nil {
		return 0, "", errors.Mark(err, errAnswerBegun)
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(resp.Body)
	if err != nil {
		return 0, "", errors.Mark(err, errAnswerBegun)
	}
	c.ended = resp.Close
	return resp.StatusCode, string(body), nil
}

// errAnswerBegun marks errors after the first byte of an answer.
var errAnswerBegun = errors.New("soak: the answer had begun")

// wasRead returns whether the host has read the whole request that ended with err. It has
// if its answer had begun, or if it closed the connection and nothing was reset: Linux resets
// a connection that is closed with bytes that weren't read, or that receives bytes after it was
// closed. It may have if it neither answers nor closes the connection until the caller gives up.
func (c *connectionClient) wasRead(err error) bool {
	switch {
	case errors.Is(err, net.ErrClosed):
		return false // closed here
	case errors.Is(err, errAnswerBegun):
		return true
	case errors.Is(err, io.EOF):
		return !c.wasReset()
	}
	var timeout net.Error
	return errors.As(err, &timeout) && timeout.Timeout()
}

// wasReset returns whether the connection was reset.
func (c *connectionClient) wasReset() bool {
	raw, err := c.conn.(*net.TCPConn).SyscallConn()
	if err != nil {
		return true // closed here
	}
	reset := true
	err = raw.Control(func(fd uintptr) {
		code, err := syscall.GetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_ERROR)
		reset = err != nil || code != 0
	})
	return reset || err != nil
}

// close ends the connection.
func (c *connectionClient) close() { _ = c.conn.Close() } // it may have ended
