package wire

import (
	"bufio"
	"io"
)

// bufferedReader adapts a bufio.Reader to the HTTP library's network.Reader.
type bufferedReader struct{ r *bufio.Reader }

// Peek implements network.Reader.
func (b bufferedReader) Peek(n int) ([]byte, error) { return b.r.Peek(n) }

// Skip implements network.Reader.
func (b bufferedReader) Skip(n int) error {
	_, err := b.r.Discard(n)
	return err
}

// Release implements network.Reader. It does nothing: the connection owns the
// buffer.
func (b bufferedReader) Release() error { return nil }

// Len implements network.Reader.
func (b bufferedReader) Len() int { return b.r.Buffered() }

// ReadByte implements network.Reader.
func (b bufferedReader) ReadByte() (byte, error) { return b.r.ReadByte() }

// ReadBinary implements network.Reader.
func (b bufferedReader) ReadBinary(n int) ([]byte, error) {
	p := make([]byte, n)
	_, err := io.ReadFull(b.r, p)
	return p, err
}
