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

// keyed collects what callers were told about each idempotency key.
type keyed struct {
	c  *cluster
	wg sync.WaitGroup

	mu   sync.Mutex
	told map[string][]string // outcomes by key; "lost" when no answer came
}

// everywhere sends a key to every entry host at once.
func (k *keyed) everywhere(key string) {
	for _, e := range k.c.entries {
		client := k.c.caller(e)
		k.wg.Go(func() {
			answer, err := client.Request(context.Background(), http.MethodPost, "billing", "file", key, []byte("return"))
			outcome := string(answer.Outcome)
			if err != nil && outcome == "" {
				outcome = "lost"
			}
			k.mu.Lock()
			defer k.mu.Unlock()
			k.told[key] = append(k.told[key], outcome)
		})
	}
}

// verify checks that no key ran twice and that every outcome told is true.
func (k *keyed) verify() {
	ran := 0
	for key, outcomes := range k.told {
		executions := k.c.executions(key)
		text := key + " was told " + strings.Join(outcomes, ", ")
		must.LessEq(k.c.t, 1, executions, must.Sprint(text))
		if strings.Contains(text, "ran") {
			ran++
			must.Eq(k.c.t, 1, executions, must.Sprint(text))
		}
		if strings.Count(text, "not-run") == len(outcomes) {
			must.Zero(k.c.t, executions, must.Sprint(text))
		}
	}
	must.Greater(k.c.t, len(k.told)/2, ran)
}

// Each key goes to every entry host at once while one of them is killed and
// started again and another is paused; then every key is tried once more.
func TestKeysRunOnceWhileEntryHostsAreKilledAndPaused(t *testing.T) {
	const (
		keys   = 60
		rhythm = 150 * time.Millisecond
	)
	c := newCluster(t, shape{failureDomains: []string{"fd-a"}, entries: 3, workers: 1, upstreams: 2, work: 30 * time.Millisecond})
	k := &keyed{c: c, told: make(map[string][]string)}
	key := func(n int) string { return fmt.Sprint("levy-", n) }
	for n := range keys {
		k.everywhere(key(n))
		switch n {
		case 10:
			time.Sleep(10 * time.Millisecond) // its requests are in flight
			c.entries[0].kill()
		case 25:
			c.startEntry(c.entries[0])
		case 30:
			c.entries[1].signal(syscall.SIGSTOP)
		case 50:
			c.entries[1].signal(syscall.SIGCONT)
		}
		time.Sleep(rhythm)
	}
	k.wg.Wait()
	c.eventually("the killed entry host to be ready", func() bool { return ready(c.entries[0].url()) })
	for n := range keys {
		k.everywhere(key(n))
	}
	k.wg.Wait()
	k.verify()
}

// post sends a request and returns its outcome and the host's incarnation.
func (c *cluster) post(e *entry, key string) (outcome, incarnation string) {
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

// During a platform outage requests without a key and with a bound key run,
// also through another entry host; plain keys are refused truly.
func TestPlatformOutageKeepsRequestsFlowing(t *testing.T) {
	c := newCluster(t, shape{failureDomains: []string{"fd-a"}, entries: 2, workers: 1, upstreams: 2, work: 5 * time.Millisecond})
	c.eventually("keys to be claimed", func() bool {
		outcome, _ := c.post(c.entries[0], "before")
		return outcome == "ran"
	})
	for _, e := range c.entries {
		e.cut()
		e.link.CloseOpenConnections()
	}
	outcome, incarnation := c.post(c.entries[0], "")
	must.Eq(t, "ran", outcome)
	bound := incarnation + "~booking-1"
	for _, e := range c.entries {
		outcome, _ = c.post(e, bound)
		must.Eq(t, "ran", outcome)
		outcome, _ = c.post(e, "plain")
		must.Eq(t, "not-run", outcome)
	}
	must.Eq(t, 1, c.executions(bound))
	must.Zero(t, c.executions("plain"))
	c.heal()
	c.eventually("plain keys to be claimed again", func() bool {
		outcome, _ := c.post(c.entries[1], "plain")
		return outcome == "ran"
	})
	must.Eq(t, 1, c.executions("plain"))
}
