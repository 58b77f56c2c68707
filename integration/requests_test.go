package integration

import (
	"context"
	"fmt"
	"net/http"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/cyclamentray/cyclamentray/routing"
)

// keyedRequests sends requests with idempotency keys and records their outcomes.
type keyedRequests struct {
	c  *cluster
	wg sync.WaitGroup

	mu       sync.Mutex
	outcomes map[string][]string // by key; "lost" if there was no response
}

// sendToAll sends a request with the key to every entry host at once, without
// waiting for the responses.
func (k *keyedRequests) sendToAll(key string) {
	for _, e := range k.c.entryHosts {
		client := k.c.callerClient(e)
		k.wg.Go(func() {
			answer, err := client.Request(context.Background(), http.MethodPost, "billing", "file", key, []byte("return"))
			outcome := string(answer.Outcome)
			if err != nil && outcome == "" {
				outcome = "lost"
			}
			k.mu.Lock()
			defer k.mu.Unlock()
			k.outcomes[key] = append(k.outcomes[key], outcome)
		})
	}
}

// verify checks that no key was executed twice and that the reported outcomes
// match the executions.
func (k *keyedRequests) verify() {
	ran := 0
	for key, outcomes := range k.outcomes {
		executions := k.c.executions(key)
		text := key + " was reported as " + strings.Join(outcomes, ", ")
		must.LessEq(k.c.t, 1, executions, must.Sprint(text))
		if strings.Contains(text, "ran") {
			ran++
			must.Eq(k.c.t, 1, executions, must.Sprint(text))
		}
		if strings.Count(text, "not-run") == len(outcomes) {
			must.Zero(k.c.t, executions, must.Sprint(text))
		}
	}
	must.Greater(k.c.t, len(k.outcomes)/2, ran)
}

// Each key is sent to every entry host at once while one of them is killed and
// restarted and another is paused. Then every key is retried on all of them.
func TestKeysRunAtMostOnceWhileEntryHostsAreKilledAndPaused(t *testing.T) {
	const (
		keys        = 60
		keyInterval = 150 * time.Millisecond
	)
	c := newCluster(t, clusterOptions{failureDomains: []string{"fd-a"}, entryHosts: 3, workers: 1, upstreams: 2, requestRunTime: 30 * time.Millisecond})
	k := &keyedRequests{c: c, outcomes: make(map[string][]string)}
	key := func(n int) string { return fmt.Sprint("levy-", n) }
	for n := range keys {
		k.sendToAll(key(n))
		switch n {
		case 10:
			time.Sleep(10 * time.Millisecond) // so that its requests are in flight
			c.entryHosts[0].kill()
		case 25:
			c.startEntryHost(c.entryHosts[0])
		case 30:
			c.entryHosts[1].signal(syscall.SIGSTOP)
		case 50:
			c.entryHosts[1].signal(syscall.SIGCONT)
		}
		time.Sleep(keyInterval)
	}
	k.wg.Wait()
	c.eventually("the killed entry host to be ready", func() bool { return ready(c.entryHosts[0].url()) })
	for n := range keys {
		k.sendToAll(key(n))
	}
	k.wg.Wait()
	k.verify()
}

// postRequest sends a request and returns its outcome and the incarnation of the
// entry host.
func (c *cluster) postRequest(e *entryHost, key string) (outcome, incarnation string) {
	req, err := http.NewRequest(http.MethodPost, e.url()+"/v1/services/billing/requests/book", strings.NewReader("kit"))
	must.NoError(c.t, err)
	req.Header.Set("Authorization", "Bearer "+callerToken)
	if key != "" {
		req.Header.Set(routing.HeaderIdempotencyKey, key)
	}
	resp, err := http.DefaultClient.Do(req)
	must.NoError(c.t, err)
	must.NoError(c.t, resp.Body.Close())
	return resp.Header.Get(routing.HeaderOutcome), resp.Header.Get("Cyclamentray-Incarnation")
}

// During a platform outage, requests run without a key or with a key bound to an
// entry host's incarnation, also when sent through another entry host. Requests
// with a plain key are reported as not run, and do not run.
func TestOnlyPlainKeysAreRefusedDuringPlatformOutage(t *testing.T) {
	c := newCluster(t, clusterOptions{failureDomains: []string{"fd-a"}, entryHosts: 2, workers: 1, upstreams: 2, requestRunTime: 5 * time.Millisecond})
	c.eventually("keys to be claimable", func() bool {
		outcome, _ := c.postRequest(c.entryHosts[0], "before")
		return outcome == "ran"
	})
	for _, e := range c.entryHosts {
		e.cutFromPlatform()
		e.platformProxy.CloseOpenConnections()
	}
	outcome, incarnation := c.postRequest(c.entryHosts[0], "")
	must.Eq(t, "ran", outcome)
	bound := incarnation + "~booking-1"
	for _, e := range c.entryHosts {
		outcome, _ = c.postRequest(e, bound)
		must.Eq(t, "ran", outcome)
		outcome, _ = c.postRequest(e, "plain")
		must.Eq(t, "not-run", outcome)
	}
	must.Eq(t, 1, c.executions(bound))
	must.Zero(t, c.executions("plain"))
	c.heal()
	c.eventually("plain keys to be claimable again", func() bool {
		outcome, _ := c.postRequest(c.entryHosts[1], "plain")
		return outcome == "ran"
	})
	must.Eq(t, 1, c.executions("plain"))
}
