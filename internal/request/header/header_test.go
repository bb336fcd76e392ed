package header

import (
	"bufio"
	"bytes"
	"net/http"
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

func TestParseTimeout(t *testing.T) {
	tests := map[string]struct {
		want time.Duration
		ok   bool
	}{
		"": {DefaultTimeout, true}, "250": {250 * time.Millisecond, true}, "99999999": {MaxTimeout, true},
		"0": {0, false}, "-1": {0, false}, "1s": {0, false}, "99999999999999999999": {0, false},
	}
	for value, test := range tests {
		got, err := ParseTimeout(value)
		must.Eq(t, test.ok, err == nil, must.Sprint(value))
		must.Eq(t, test.want, got, must.Sprint(value))
	}
}

// FuzzCheckFraming guards against request smuggling: header lines that CheckFraming
// accepts must have a single, unambiguous length for net/http too.
func FuzzCheckFraming(f *testing.F) {
	f.Add([]byte("Content-Length: 3\r\n\r\nabc"))
	f.Add([]byte("Transfer-Encoding: chunked\r\n\r\n0\r\n\r\n"))
	f.Add([]byte("Content-Length: 3\r\nContent-Length: 4\r\n\r\n"))
	f.Add([]byte("content-length : 3\r\n\r\n"))
	f.Fuzz(func(t *testing.T, lines []byte) {
		if CheckFraming(lines) != nil {
			return
		}
		text := append([]byte("POST / HTTP/1.1\r\nHost: a\r\n"), lines...)
		req, err := http.ReadRequest(bufio.NewReader(bytes.NewReader(text)))
		if err != nil {
			return
		}
		if lengths := req.Header.Values("Content-Length"); len(lengths) > 1 {
			t.Fatalf("accepted lengths %q", lengths)
		}
		if len(req.TransferEncoding) > 0 && req.Header.Get("Content-Length") != "" {
			t.Fatalf("accepted both framings")
		}
	})
}
