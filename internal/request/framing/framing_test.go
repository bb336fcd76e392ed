package framing

import (
	"bufio"
	"bytes"
	"io"
	"net/http"
	"strings"
	"testing"

	"github.com/shoenig/test/must"
)

var limits = Limits{Head: 200, Body: 5000}

// feed feeds input in pieces and returns what is passed on of the first request, the rest of
// the input and the error.
func feed(input string, piece int) (passedOn []byte, rest string, err error) {
	var r Request
	r.Reset(limits)
	for done := false; !done && input != ""; {
		var n int
		if n, done, err = r.Feed([]byte(input[:min(piece, len(input))])); err != nil {
			return nil, input, err
		}
		input = input[n:]
	}
	buf := make([]byte, 7)
	for r.Pending() {
		passedOn = append(passedOn, buf[:r.Read(buf)]...)
	}
	return passedOn, input, nil
}

// TestRequestsEnd checks that a request ends where it does for another parser, whatever the
// pieces in which it arrives, and that its body is whole.
func TestRequestsEnd(t *testing.T) {
	long := strings.Repeat("0123456789", 499)
	for name, c := range map[string]struct{ request, body string }{
		"no body":            {"GET / HTTP/1.1\r\nHost: a\r\n\r\n", ""},
		"bare line ends":     {"GET / HTTP/1.1\nHost: a\n\n", ""},
		"empty lines before": {"\r\n\r\nGET / HTTP/1.1\r\nHost: a\r\n\r\n", ""},
		"length":             {"POST / HTTP/1.1\r\nHost: a\r\ncontent-length:  3 \r\n\r\nabc", "abc"},
		"length of blocks":   {"POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 4990\r\n\r\n" + long, long},
		"no chunks":          {"POST / HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n", ""},
		"chunks": {"POST / HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n" +
			"00a\r\n0123456789\r\n1;x=y\r\na\r\n1374\r\n" + long[:4980] + "\r\n0\r\nTrailer: x\r\n\r\n", "0123456789a" + long[:4980]},
	} {
		t.Run(name, func(t *testing.T) {
			for _, piece := range []int{1, 3, 4096, 1 << 20} {
				passedOn, rest, err := feed(c.request+"GET /next", piece)
				must.NoError(t, err)
				must.Eq(t, "GET /next", rest)
				request, err := http.ReadRequest(bufio.NewReader(bytes.NewReader(passedOn)))
				must.NoError(t, err)
				body, err := io.ReadAll(request.Body)
				must.NoError(t, err)
				must.Eq(t, c.body, string(body))
			}
		})
	}
}

func TestRequestsAreRefused(t *testing.T) {
	const chunked = "POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n"
	for name, c := range map[string]struct {
		request string
		want    error
	}{
		"head without end":      {"GET / HTTP/1.1\r\nX: " + strings.Repeat("x", 300), ErrHeadTooLarge},
		"trailer without end":   {chunked + "0\r\nX: " + strings.Repeat("x", 300), ErrHeadTooLarge},
		"announced length":      {"POST / HTTP/1.1\r\nContent-Length: 5001\r\n\r\n", ErrBodyTooLarge},
		"announced chunk":       {chunked + "1389\r\n", ErrBodyTooLarge},
		"huge chunk":            {chunked + strings.Repeat("f", 40), ErrBodyTooLarge},
		"sum of chunks":         {chunked + strings.Repeat("2\r\nab\r\n", 2501), ErrBodyTooLarge},
		"empty lines":           {strings.Repeat("\r\n", 9), errEmptyLines},
		"no chunk size":         {chunked + "\r\n", errChunk},
		"negative chunk":        {chunked + "-1\r\n", errChunk},
		"chunk size too long":   {chunked + "1;" + strings.Repeat("x", 200), errChunk},
		"no line end after one": {chunked + "1\r\nab", errChunk},
	} {
		for _, piece := range []int{1, 4096} {
			_, _, err := feed(c.request, piece)
			must.ErrorIs(t, err, c.want, must.Sprint(name))
		}
	}
	for _, head := range []string{
		"POST / HTTP/1.1\r\nContent-Length: 1\r\nContent-Length: 1\r\n\r\n",
		"POST / HTTP/1.1\r\nContent-Length: 1\r\nTransfer-Encoding: chunked\r\n\r\n",
		"POST / HTTP/1.1\r\nContent-Length: -1\r\n\r\n",
		"POST / HTTP/1.1\r\nTransfer-Encoding: gzip\r\n\r\n",
	} {
		_, _, err := feed(head, 4096)
		must.Error(t, err, must.Sprint(head))
	}
}

// TestAnnouncedBodyTakesNoMemory guards against memory for bytes that never come.
func TestAnnouncedBodyTakesNoMemory(t *testing.T) {
	for _, request := range []string{
		"POST / HTTP/1.1\r\nContent-Length: 1000000\r\n\r\nx",
		"POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n" + strings.Repeat("1\r\nx\r\n", 4096) + "fffff\r\n",
	} {
		var r Request
		r.Reset(Limits{Head: 200, Body: 2 << 20})
		_, done, err := r.Feed([]byte(request))
		must.NoError(t, err)
		must.False(t, done)
		must.LessEq(t, 5<<10, r.Held())
	}
}
