package logservice

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/netip"
	"sync/atomic"
	"testing"

	"github.com/siskinvane/siskinvane/internal/platform/httpapi"
)

// countingProxy forwards TCP connections to a server and counts their bytes in both
// directions.
type countingProxy struct {
	listener net.Listener
	server   string
	bytes    atomic.Int64
}

func newCountingProxy(b *testing.B, server netip.AddrPort) *countingProxy {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		b.Fatal(err)
	}
	b.Cleanup(func() { ln.Close() })
	m := &countingProxy{listener: ln, server: server.String()}
	go m.serve()
	return m
}

func (m *countingProxy) addr() netip.AddrPort { return m.listener.Addr().(*net.TCPAddr).AddrPort() }

func (m *countingProxy) serve() {
	for {
		client, err := m.listener.Accept()
		if err != nil {
			return
		}
		server, err := net.Dial("tcp", m.server)
		if err != nil {
			client.Close()
			continue
		}
		go m.relay(server, client)
		go m.relay(client, server)
	}
}

func (m *countingProxy) relay(to, from net.Conn) {
	defer to.Close()
	_, _ = io.Copy(to, io.TeeReader(from, countWriter{m}))
}

type countWriter struct{ m *countingProxy }

func (c countWriter) Write(p []byte) (int, error) {
	c.m.bytes.Add(int64(len(p)))
	return len(p), nil
}

// BenchmarkWire reports the HTTP bytes of each call to the log, in both directions
// and without the overhead of TCP.
func BenchmarkWire(b *testing.B) {
	server, err := Serve(NewStore(), netip.MustParseAddrPort("127.0.0.1:0"))
	if err != nil {
		b.Fatal(err)
	}
	b.Cleanup(func() {
		ctx, cancel := context.WithCancel(context.Background())
		cancel()
		_ = server.Stop(ctx)
	})
	client, err := httpapi.NewClient(0)
	if err != nil {
		b.Fatal(err)
	}
	m := newCountingProxy(b, server.Addr())
	log := httpapi.NewLog(client.As("entry-0"), m.addr())
	run := func(name string, call func(i int) error) {
		b.Run(name, func(b *testing.B) {
			before := m.bytes.Load()
			for i := range b.N {
				if err := call(i); err != nil {
					b.Fatal(err)
				}
			}
			b.ReportMetric(float64(m.bytes.Load()-before)/float64(b.N), "B/call")
		})
	}
	run("read of nothing", func(int) error {
		_, err := log.Read(b.Context(), "shard/catania-00", 100, 256)
		return err
	})
	run("span", func(int) error {
		_, err := log.Span(b.Context(), "shard/catania-00")
		return err
	})
	for _, size := range []int{70, 1000, 48 << 10} {
		data := make([]byte, size)
		run(fmt.Sprintf("append of %d bytes", size), func(i int) error {
			_, err := log.Append(b.Context(), "append", data)
			return err
		})
	}
}
