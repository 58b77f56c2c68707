package crowd_test

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

// The crowds. They and the limits in host_test.go stay as they are.
const (
	bodyCrowd        = 300 // connections with bodies of maxBodyBytes: 300 MB
	smallChunksCrowd = 300
	smallChunksBytes = maxBodyBytes / 2 // in chunks of one byte, six bytes each on the connection
	stepsCrowd       = 12               // connections with bodies of some 350,000 steps
	afterCrowd       = 100              // connections with bodies of some 520,000 numbers of steps
	labelCrowd       = 60               // connections with bodies of one label
	openCrowd        = 700              // connections that send little or nothing: more than maxFDs
	headerCrowd      = 300
	headerBytes      = 900 << 10 // of a header that does not end
	peerCrowd        = 60
	peerBytes        = 8 << 20 // sent of each message
	onePeerBytes     = 512 << 20

	moderatePeerCrowd = 90
	moderatePeerBytes = 2 << 20 // of each message

	submitters    = 8    // at once
	submittedJobs = 1000 // largest legal jobs, one after the other

	pieceBytes      = 16 << 10
	largeChunkBytes = 64 << 10
	lastBytes       = 100     // of a whole body, sent when all connections have sent the rest
	unreadBytes     = 200_000 // announced for a body that the host has no use for
	partBytes       = 1_000   // sent of it

	returnInterval = 100 * time.Millisecond // from the end of a connection to the next one of that client

	sendTimeout = 60 * time.Second // for all that one connection sends

	smallJob = `{"spec":"1ms","phases":[{"count":1,"cpu":100,"mem_mb":64,"estimated_ms":1}]}`
)

// gather opens n connections to address at once. On each, send is called. The
// connections stay open until the test ends. That the host closes some is allowed.
// It returns the connections for which send returned no error; the others are nil.
func gather(t *testing.T, address string, n int, send func(i int, c net.Conn) error) []net.Conn {
	t.Helper()
	conns := make([]net.Conn, n)
	var all sync.WaitGroup
	for i := range n {
		all.Go(func() {
			conn, err := net.DialTimeout("tcp", address, sendTimeout)
			if err != nil {
				return
			}
			t.Cleanup(func() { _ = conn.Close() })
			_ = conn.SetDeadline(time.Now().Add(sendTimeout))
			if send(i, conn) == nil {
				conns[i] = conn
			}
		})
	}
	all.Wait()
	t.Logf("%d connections, of which %d sent all", n, n-closed(conns))
	return conns
}

func closed(conns []net.Conn) (n int) {
	for _, c := range conns {
		if c == nil {
			n++
		}
	}
	return n
}

// paddedJob returns a legal job of exactly maxBodyBytes.
func paddedJob(job string) string {
	return job[:len(job)-1] + strings.Repeat(" ", maxBodyBytes-len(job)) + "}"
}

// requestHead returns the head of a submission, up to the fields for the body.
func requestHead(i int) string {
	return fmt.Sprintf("POST %s%s HTTP/1.1\r\nHost: %s\r\nApi-Key: %s\r\nContent-Type: application/json\r\n", jobPath, jobID(i), callerHost, apiKey)
}

func headWithLength(i, length int) string {
	return fmt.Sprintf("%sContent-Length: %d\r\n\r\n", requestHead(i), length)
}

func headChunked(i int) string { return requestHead(i) + "Transfer-Encoding: chunked\r\n\r\n" }

func sendText(c net.Conn, texts ...string) error {
	for _, text := range texts {
		if _, err := io.WriteString(c, text); err != nil {
			return err
		}
	}
	return nil
}

func sendInPieces(c net.Conn, text string, size int) error {
	for len(text) > 0 {
		n := min(size, len(text))
		if err := sendText(c, text[:n]); err != nil {
			return err
		}
		text = text[n:]
	}
	return nil
}

// readStatus returns the status of the answer on c.
func readStatus(c net.Conn) (int, error) {
	answer, err := http.ReadResponse(bufio.NewReader(c), nil)
	if err != nil {
		return 0, err
	}
	return answer.StatusCode, answer.Body.Close()
}

// gatherWholeBodies submits body on n connections at once and returns the answers; 0: none.
// The last bytes follow when each connection has sent the others, or failed to.
func gatherWholeBodies(t *testing.T, h *hostProcess, n int, body string) []int {
	most := len(body) - lastBytes
	conns := gather(t, h.api, n, func(i int, c net.Conn) error {
		return sendText(c, headWithLength(i, len(body)), body[:most])
	})
	statuses := make([]int, n)
	var all sync.WaitGroup
	for i, c := range conns {
		if c != nil {
			all.Go(func() { statuses[i] = sendRest(c, body[most:]) })
		}
	}
	all.Wait()
	return statuses
}

// sendRest sends the end of a body and returns the status of the answer; 0: none.
func sendRest(c net.Conn, rest string) int {
	_ = sendText(c, rest) // an answer may have come before
	status, err := readStatus(c)
	if err != nil {
		return 0
	}
	return status
}

// Guards against a process that runs out of memory on many large bodies at once.
func TestManyLargeBodiesAtOnce(t *testing.T) {
	h := startHost(t)
	statuses := gatherWholeBodies(t, h, bodyCrowd, paddedJob(smallJob))
	h.checkHolds()
	h.checkRefusedAreNotStored(statuses)
}

// Guards against bodies of an announced length that are kept for as long as they don't end.
func TestLargeBodiesInPiecesThatStopShort(t *testing.T) {
	h := startHost(t)
	body := paddedJob(smallJob)
	gather(t, h.api, bodyCrowd, func(i int, c net.Conn) error {
		if err := sendText(c, headWithLength(i, len(body))); err != nil {
			return err
		}
		return sendInPieces(c, body[:len(body)-1], pieceBytes)
	})
	h.checkHolds()
}

// Guards against callers that open a new connection with a body that stops short whenever
// the host closes one.
func TestClientsThatReturnWithBodiesThatStopShort(t *testing.T) {
	h := startHost(t)
	part := headWithLength(0, maxBodyBytes) + paddedJob(smallJob)[:maxBodyBytes-1]
	stop := make(chan struct{})
	var all sync.WaitGroup
	for range bodyCrowd {
		all.Go(func() { returnUntil(stop, h.api, part) })
	}
	awaitFirstBodies(t, h)
	h.checkHolds()
	close(stop)
	all.Wait()
}

// returnUntil keeps a connection open on which part was sent. When it is closed, another is
// opened.
func returnUntil(stop <-chan struct{}, address, part string) {
	for {
		conn, err := net.DialTimeout("tcp", address, sendTimeout)
		if err == nil {
			closed := make(chan struct{})
			go func() {
				defer close(closed)
				_ = sendInPieces(conn, part, pieceBytes) // the host may close the connection
				_, _ = io.Copy(io.Discard, conn)
			}()
			select {
			case <-stop:
			case <-closed:
			}
			_ = conn.Close()
			<-closed
		}
		select {
		case <-stop:
			return
		case <-time.After(returnInterval):
		}
	}
}

// awaitFirstBodies waits until the crowd has begun.
func awaitFirstBodies(t *testing.T, h *hostProcess) {
	const crowdHasBegun = 50 // sockets
	must.NoError(t, h.poll(time.Now().Add(patience), func() error {
		if h.peakSockets.Load() < crowdHasBegun {
			return errors.New("the crowd has not begun")
		}
		return nil
	}))
}

// Guards against chunked bodies in large chunks that are kept for as long as they don't end.
func TestLargeChunksThatStopShort(t *testing.T) {
	h := startHost(t)
	body := paddedJob(smallJob)
	gather(t, h.api, bodyCrowd, func(i int, c net.Conn) error {
		if err := sendText(c, headChunked(i)); err != nil {
			return err
		}
		for rest := body[:len(body)-1]; len(rest) > 0; {
			n := min(largeChunkBytes, len(rest))
			if err := sendText(c, fmt.Sprintf("%x\r\n%s\r\n", n, rest[:n])); err != nil {
				return err
			}
			rest = rest[n:]
		}
		return nil
	})
	h.checkHolds()
}

// Guards against chunked bodies in very small chunks that are kept for as long as they don't end.
func TestVerySmallChunksThatStopShort(t *testing.T) {
	h := startHost(t)
	chunks := strings.Repeat("1\r\n \r\n", smallChunksBytes)
	gather(t, h.api, smallChunksCrowd, func(i int, c net.Conn) error {
		if err := sendText(c, headChunked(i)); err != nil {
			return err
		}
		return sendInPieces(c, chunks, pieceBytes)
	})
	h.checkHolds()
}

// Guards against bodies whose steps take many times their size when they are decoded.
func TestBodiesOfManySteps(t *testing.T) {
	h := startHost(t)
	const opening, ending = `{"phases":[{}`, `]}`
	steps := (maxBodyBytes - len(opening) - len(ending)) / len(`,{}`)
	statuses := gatherWholeBodies(t, h, stepsCrowd, opening+strings.Repeat(`,{}`, steps)+ending)
	h.checkHolds()
	h.checkRefusedAreNotStored(statuses)
}

// Guards against bodies whose lists take many times their size when they are decoded.
func TestBodiesOfLongLists(t *testing.T) {
	h := startHost(t)
	const opening, ending = `{"phases":[{"count":1},{"count":1,"after":[0`, `]}]}`
	numbers := (maxBodyBytes - len(opening) - len(ending)) / len(`,0`)
	statuses := gatherWholeBodies(t, h, afterCrowd, opening+strings.Repeat(`,0`, numbers)+ending)
	h.checkHolds()
	h.checkRefusedAreNotStored(statuses)
}

// Guards against accepted jobs that are so large that a host can't read them from the store.
func TestManyJobsOfLongLabels(t *testing.T) {
	h := startHost(t)
	const opening, ending = `{"phases":[{"count":1,"requirements":"`, `"}]}`
	label := strings.Repeat("x", maxBodyBytes-len(opening)-len(ending))
	statuses := gatherWholeBodies(t, h, labelCrowd, opening+label+ending)
	h.checkHolds()
	h.checkRefusedAreNotStored(statuses)
}

// gatherOpenConnections opens connections that send nothing, a part of a header, or one
// request after which they stay open.
func gatherOpenConnections(t *testing.T, address string) {
	gather(t, address, openCrowd, func(i int, c net.Conn) error {
		switch i % 3 {
		case 0:
			return nil
		case 1:
			return sendText(c, "GET / HTTP/1.1\r\nHost: ")
		default:
			if err := sendText(c, "GET / HTTP/1.1\r\nHost: "+callerHost+"\r\n\r\n"); err != nil {
				return err
			}
			_, err := readStatus(c)
			return err
		}
	})
}

// Guards against open connections of callers that use up the descriptors.
func TestOpenConnectionsOnAPI(t *testing.T) {
	h := startHost(t)
	gatherOpenConnections(t, h.api)
	h.checkHolds()
}

// Guards against open connections to the readiness endpoint that use up the descriptors.
func TestOpenConnectionsOnReadiness(t *testing.T) {
	h := startHost(t)
	gatherOpenConnections(t, h.readiness)
	h.checkHolds()
}

// Guards against open connections to the metrics endpoint that use up the descriptors.
func TestOpenConnectionsOnMetrics(t *testing.T) {
	h := startHost(t)
	gatherOpenConnections(t, h.metrics)
	h.checkHolds()
}

// Guards against open connections of peers that use up the descriptors.
func TestOpenConnectionsOnPeer(t *testing.T) {
	h := startHost(t)
	gather(t, h.peers, openCrowd, func(i int, c net.Conn) error {
		if i%2 == 0 {
			return nil
		}
		return sendText(c, "\x20\x20")
	})
	h.checkHolds()
}

// gatherUnreadBodies sends requests whose answer needs no body, with bodies that stop short.
func gatherUnreadBodies(t *testing.T, address string) {
	head := fmt.Sprintf("POST /nothing HTTP/1.1\r\nHost: %s\r\nContent-Length: %d\r\n\r\n", callerHost, unreadBytes)
	gather(t, address, openCrowd, func(_ int, c net.Conn) error { return sendText(c, head, strings.Repeat(" ", partBytes)) })
}

// Guards against refused requests whose bodies never end and hold descriptors.
func TestUnreadBodiesOnAPI(t *testing.T) {
	h := startHost(t)
	gatherUnreadBodies(t, h.api)
	h.checkHolds()
}

// Guards against readiness probes whose bodies never end and hold descriptors.
func TestUnreadBodiesOnReadiness(t *testing.T) {
	h := startHost(t)
	gatherUnreadBodies(t, h.readiness)
	h.checkHolds()
}

// Guards against requests for metrics whose bodies never end and hold descriptors.
func TestUnreadBodiesOnMetrics(t *testing.T) {
	h := startHost(t)
	gatherUnreadBodies(t, h.metrics)
	h.checkHolds()
}

// gatherLargeHeaders sends headers that are large and don't end.
func gatherLargeHeaders(t *testing.T, address string) {
	header := "GET / HTTP/1.1\r\nHost: a.example\r\nX-Fill: " + strings.Repeat("x", headerBytes)
	gather(t, address, headerCrowd, func(_ int, c net.Conn) error { return sendInPieces(c, header, pieceBytes) })
}

// Guards against a process that runs out of memory on many large headers of callers.
func TestLargeHeadersOnAPI(t *testing.T) {
	h := startHost(t)
	gatherLargeHeaders(t, h.api)
	h.checkHolds()
}

// Guards against a process that runs out of memory on many large headers of readiness probes.
func TestLargeHeadersOnReadiness(t *testing.T) {
	h := startHost(t)
	gatherLargeHeaders(t, h.readiness)
	h.checkHolds()
}

// Guards against a process that runs out of memory on many large headers at the metrics endpoint.
func TestLargeHeadersOnMetrics(t *testing.T) {
	h := startHost(t)
	gatherLargeHeaders(t, h.metrics)
	h.checkHolds()
}

// gobLength returns the length before a gob message, in the four-byte form.
func gobLength(n uint32) string {
	const fourBytes = 0xfc
	return string([]byte{fourBytes, byte(n >> 24), byte(n >> 16), byte(n >> 8), byte(n)})
}

// Guards against a process that runs out of memory on many large messages of peers.
func TestPeerMessagesThatStopShort(t *testing.T) {
	h := startHost(t)
	const announced = 64 << 20
	message := strings.Repeat("x", peerBytes)
	gather(t, h.peers, peerCrowd, func(_ int, c net.Conn) error {
		return sendInPieces(c, gobLength(announced)+message, pieceBytes)
	})
	h.checkHolds()
}

// Guards against many messages of peers each of which is small enough by itself.
func TestPeerMessagesOfModerateSizeThatStopShort(t *testing.T) {
	h := startHost(t)
	message := strings.Repeat("x", moderatePeerBytes-1)
	gather(t, h.peers, moderatePeerCrowd, func(_ int, c net.Conn) error {
		return sendInPieces(c, gobLength(moderatePeerBytes)+message, pieceBytes)
	})
	h.checkHolds()
}

// Guards against a process that runs out of memory on one message of a peer.
func TestOneLargePeerMessage(t *testing.T) {
	h := startHost(t)
	const announced = 1 << 30
	piece := strings.Repeat("x", 1<<20)
	gather(t, h.peers, 1, func(_ int, c net.Conn) error {
		if err := sendText(c, gobLength(announced)); err != nil {
			return err
		}
		for range onePeerBytes / len(piece) {
			if err := sendText(c, piece); err != nil {
				return err
			}
		}
		return nil
	})
	h.checkHolds()
}

// largestJob returns a legal job of maxBodyBytes that is as large as a job can be.
func largestJob() string {
	const steps, specBytes = 200, 4000
	var job, after strings.Builder
	fmt.Fprintf(&job, `{"spec":%q,"phases":[`, strings.Repeat("s", specBytes))
	for i := range steps {
		if i > 0 {
			fmt.Fprintf(&job, ",")
		}
		fmt.Fprintf(&job, `{"count":50,"cpu":100,"mem_mb":64,"estimated_ms":1,"after":[%s]}`, strings.TrimSuffix(after.String(), ","))
		fmt.Fprintf(&after, "%d,", i)
	}
	job.WriteString("]}")
	return paddedJob(job.String())
}

// Guards against a limit that refuses a request inside the pages' limits.
func TestOneLargestLegalJobIsServed(t *testing.T) {
	h := startHost(t)
	body := largestJob()
	must.EqOp(t, maxBodyBytes, len(body))
	must.Eq(t, []int{http.StatusOK}, gatherWholeBodies(t, h, 1, body))
	h.checkHolds()
}

// Guards against a process that runs out of memory on the jobs that it has accepted.
func TestManyLargestLegalJobs(t *testing.T) {
	h := startHost(t)
	body := largestJob()
	statuses := gatherWholeBodies(t, h, bodyCrowd, body)
	h.checkHolds()
	h.checkRefusedAreNotStored(statuses)
}

// Guards against a process that runs out of memory on the jobs that it accepts over time.
func TestLargestLegalJobsOneAfterTheOther(t *testing.T) {
	h := startHost(t)
	body := []byte(largestJob())
	statuses := make([]int, submittedJobs)
	var all sync.WaitGroup
	for first := range submitters {
		all.Go(func() {
			for i := first; i < submittedJobs; i += submitters {
				statuses[i], _ = h.callAPI(http.MethodPost, jobID(i), body) // 0: the host closed the connection
			}
		})
	}
	all.Wait()
	h.checkRefusedAreNotStored(statuses)
	h.checkHolds()
}
