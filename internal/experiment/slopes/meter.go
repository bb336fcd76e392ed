package slopes

import (
	"fmt"
	"io"
	"net"
	"net/netip"
	"runtime"
	"sync/atomic"
	"syscall"
	"time"
)

var anyPort = netip.MustParseAddrPort("127.0.0.1:0")

// byteMeter is a TCP relay to one address that counts the bytes of both directions.
type byteMeter struct {
	listener net.Listener
	target   netip.AddrPort
	bytes    atomic.Int64
}

// newByteMeter starts a relay to target on a free loopback port.
func newByteMeter(target netip.AddrPort) (*byteMeter, error) {
	ln, err := net.Listen("tcp", anyPort.String())
	if err != nil {
		return nil, fmt.Errorf("listen for the byte meter: %w", err)
	}
	m := &byteMeter{listener: ln, target: target}
	go m.accept()
	return m, nil
}

func (m *byteMeter) addr() netip.AddrPort { return m.listener.Addr().(*net.TCPAddr).AddrPort() }

func (m *byteMeter) close() { m.listener.Close() }

func (m *byteMeter) accept() {
	for {
		in, err := m.listener.Accept()
		if err != nil {
			return
		}
		out, err := net.Dial("tcp", m.target.String())
		if err != nil {
			in.Close()
			continue
		}
		go m.copy(in, out)
		go m.copy(out, in)
	}
}

func (m *byteMeter) copy(to, from net.Conn) {
	defer to.Close()
	// The error is ignored: the relay ends when either side closes or fails.
	_, _ = io.Copy(io.MultiWriter(to, meterWriter{m}), from)
}

// meterWriter adds the number of bytes written to it to the meter.
type meterWriter struct{ meter *byteMeter }

// Write implements io.Writer.
func (c meterWriter) Write(p []byte) (int, error) {
	c.meter.bytes.Add(int64(len(p)))
	return len(p), nil
}

// processorTime returns the user and system time that this process has used.
func processorTime() time.Duration {
	var usage syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &usage); err != nil {
		return 0
	}
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
}

// heapGrowth returns the number of bytes by which build grows the live heap. The result
// of build is kept alive until the heap has been measured.
func heapGrowth(build func() any) float64 {
	before := liveHeap()
	kept := build()
	after := liveHeap()
	runtime.KeepAlive(kept)
	return float64(after) - float64(before)
}

func liveHeap() uint64 {
	runtime.GC()
	runtime.GC()
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	return stats.HeapAlloc
}
