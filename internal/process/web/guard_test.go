package web

import (
	"bufio"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"net/netip"
	"os"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/cloudwego/hertz/pkg/app"
	"github.com/shoenig/test/must"
	"github.com/siskinvane/siskinvane/internal/process/quota"
	"github.com/siskinvane/siskinvane/internal/request/framing"
)

const maxTestBody = 64 << 10

// startGuarded starts a server that answers with the size of the body. Its handler waits for
// release on the path /wait.
func startGuarded(t *testing.T, l quota.Limits) (s *Server, release chan struct{}, refusals chan Refusal) {
	t.Helper()
	refusals = make(chan Refusal, 100)
	s, err := ListenGuarded(netip.MustParseAddrPort("127.0.0.1:0"), Guard{
		Quota:        quota.New(l),
		Limits:       func() framing.Limits { return framing.Limits{Head: 1000, Body: maxTestBody} },
		OnTurnedAway: func(r Refusal) { refusals <- r },
	})
	must.NoError(t, err)
	release = make(chan struct{})
	s.Any("/*path", func(_ context.Context, c *app.RequestContext) {
		if string(c.Path()) == "/wait" {
			<-release
		}
		c.String(200, strconv.Itoa(len(c.Request.Body())))
	})
	s.Start()
	t.Cleanup(func() { must.NoError(t, s.Stop(context.Background())) })
	return s, release, refusals
}

var enough = quota.Limits{Connections: 10, Bytes: 8 << 20}

// client is a connection of a test.
type client struct {
	t *testing.T
	net.Conn
	answers *bufio.Reader
}

func dial(t *testing.T, s *Server) client {
	t.Helper()
	conn, err := net.Dial("tcp", s.Addr().String())
	must.NoError(t, err)
	t.Cleanup(func() { conn.Close() })
	must.NoError(t, conn.SetDeadline(time.Now().Add(30*time.Second)))
	return client{t, conn, bufio.NewReader(conn)}
}

func (c client) send(text string) {
	c.t.Helper()
	_, err := io.WriteString(c.Conn, text)
	must.NoError(c.t, err)
}

// answer reads an answer and its body.
func (c client) answer() (*http.Response, string) {
	c.t.Helper()
	answer, err := http.ReadResponse(c.answers, nil)
	must.NoError(c.t, err)
	body, err := io.ReadAll(answer.Body)
	must.NoError(c.t, err)
	return answer, string(body)
}

// mustBeClosed waits for the end of the connection.
func (c client) mustBeClosed() {
	c.t.Helper()
	_, err := c.answers.ReadByte()
	must.Error(c.t, err)
	must.False(c.t, errors.Is(err, os.ErrDeadlineExceeded), must.Sprint("the connection is open"))
}

const post = "POST / HTTP/1.1\r\nHost: a\r\n"

// TestGuardedConnectionServesRequests sends requests one after the other on one connection,
// in pieces and before the answers to earlier ones.
func TestGuardedConnectionServesRequests(t *testing.T) {
	s, _, refusals := startGuarded(t, enough)
	c := dial(t, s)
	c.send("\r\nGET / HTTP/1.1\r\nHo")
	c.send("st: a\r\n\r\n" + post + "Content-Length: 3\r\n\r\nab")
	c.send("c" + post + "Transfer-Encoding: chunked\r\n\r\n2\r\nab\r\n3\r\ncde\r\n0\r\n\r\n" + post)
	for _, want := range []string{"0", "3", "5"} {
		answer, body := c.answer()
		must.Eq(t, 200, answer.StatusCode)
		must.Eq(t, want, body)
	}
	c.send("Content-Length: 65536\r\n\r\n" + strings.Repeat("x", maxTestBody))
	answer, body := c.answer()
	must.Eq(t, "65536", body)
	must.True(t, answer.Close, must.Sprint("buffers of a large request stay with its connection"))
	must.Eq(t, 0, len(refusals))
}

// TestExpectedContinueIsSentOnce: the body of such a request follows the interim answer,
// which the guard sends since the library does not see the head yet.
func TestExpectedContinueIsSentOnce(t *testing.T) {
	s, _, _ := startGuarded(t, enough)
	c := dial(t, s)
	for range 2 {
		c.send(post + "Expect: 100-continue\r\nContent-Length: 3\r\n\r\n")
		answer, _ := c.answer()
		must.Eq(t, 100, answer.StatusCode)
		c.send("abc")
		answer, body := c.answer()
		must.Eq(t, 200, answer.StatusCode)
		must.Eq(t, "3", body)
	}
}

// TestRefusalsAreAnswered checks that the client reads the answer although it has sent more.
func TestRefusalsAreAnswered(t *testing.T) {
	s, _, refusals := startGuarded(t, enough)
	for request, want := range map[string]struct {
		status  int
		refusal Refusal
	}{
		post + "X: " + strings.Repeat("x", 30_000):                                                     {431, HeadTooLarge},
		post + "Content-Length: 65537\r\n\r\n" + strings.Repeat("x", 30_000):                           {413, BodyTooLarge},
		post + "Transfer-Encoding: chunked\r\n\r\nfffffffff\r\n" + strings.Repeat("x", 30_000):         {413, BodyTooLarge},
		post + "Content-Length: 1\r\nContent-Length: 2\r\n\r\n" + strings.Repeat("x", 30_000):          {400, Malformed},
		strings.Repeat("\r\n", 10_000):                                                                 {400, Malformed},
		"GET /first HTTP/1.1\r\nHost: a\r\n\r\n" + post + "Content-Length: 65537\r\n\r\n" + "xxxxxxxx": {413, BodyTooLarge},
	} {
		c := dial(t, s)
		c.send(request)
		if strings.HasPrefix(request, "GET /first") {
			answer, _ := c.answer()
			must.Eq(t, 200, answer.StatusCode)
		}
		answer, _ := c.answer()
		must.Eq(t, want.status, answer.StatusCode)
		must.True(t, answer.Close)
		c.mustBeClosed()
		must.Eq(t, want.refusal, <-refusals)
	}
}

// TestRequestWithoutRoomIsRefused: it has not run, and says when to come back. A request
// that is handled is not broken off for it.
func TestRequestWithoutRoomIsRefused(t *testing.T) {
	s, release, refusals := startGuarded(t, quota.Limits{Connections: 2, Bytes: 2*quota.ConnectionBytes + 20_000})
	first, second := dial(t, s), dial(t, s)
	first.send("GET /wait HTTP/1.1\r\nHost: a\r\n\r\n")
	for s.inFlight.Load() == 0 {
		time.Sleep(time.Millisecond)
	}
	second.send(post + "Content-Length: 30000\r\n\r\n" + strings.Repeat("x", 30_000))
	answer, _ := second.answer()
	must.Eq(t, 503, answer.StatusCode)
	must.NotEq(t, "", answer.Header.Get("Retry-After"))
	must.Eq(t, NoRoom, <-refusals)
	close(release)
	answer, _ = first.answer()
	must.Eq(t, 200, answer.StatusCode)
}

// TestUnfinishedRequestGivesWay: connections that stop short of their end do not shut others
// out.
func TestUnfinishedRequestGivesWay(t *testing.T) {
	s, _, refusals := startGuarded(t, quota.Limits{Connections: 1, Bytes: 1 << 20})
	slow := dial(t, s)
	slow.send(post + "Content-Length: 3\r\n\r\nab")
	other := dial(t, s)
	other.send("GET / HTTP/1.1\r\nHost: a\r\n\r\n")
	answer, _ := other.answer()
	must.Eq(t, 200, answer.StatusCode)
	slow.mustBeClosed()
	must.Eq(t, Displaced, <-refusals)
}

// TestClientThatReadsNoAnswersGivesWay: its requests were handled, and the answers do not fit
// into the kernel's buffers.
func TestClientThatReadsNoAnswersGivesWay(t *testing.T) {
	s, _, refusals := startGuarded(t, quota.Limits{Connections: 1, Bytes: 1 << 20})
	deaf := dial(t, s)
	must.NoError(t, deaf.Conn.(*net.TCPConn).SetReadBuffer(4<<10))
	go func() {
		// The write ends once the server closes the connection.
		_, _ = io.WriteString(deaf.Conn, strings.Repeat("GET / HTTP/1.1\r\nHost: a\r\n\r\n", 2_000_000))
	}()
	for {
		// Until its answers fill the buffers the client's requests are handled.
		time.Sleep(500 * time.Millisecond)
		other := dial(t, s)
		_, err := io.WriteString(other.Conn, "GET / HTTP/1.1\r\nHost: a\r\n\r\n")
		if err == nil {
			if answer, err := http.ReadResponse(other.answers, nil); err == nil {
				must.Eq(t, 200, answer.StatusCode)
				break
			}
		}
	}
	for r := range refusals {
		if r == Displaced {
			break
		}
	}
}
