package endpoint

import (
	"bufio"
	"bytes"
	"fmt"
	"hash/fnv"
	"io"
	"net"
	"net/http/httputil"
	"strconv"
	"strings"
	"time"
)

const (
	readerBufferBytes = 4 << 10
	// lineEnd is the empty line after the last chunk of a request.
	lineEnd = "\r\n"
)

// request is a parsed HTTP request.
type request struct {
	method, path, id, key string
	readPosition          uint64
	body                  []byte
}

// serve answers the requests of one connection.
func (s *Server) serve(c *net.TCPConn) {
	defer s.removeConn(c)
	defer c.Close()
	r := bufio.NewReaderSize(c, readerBufferBytes)
	for {
		m, err := readRequest(r)
		if err != nil {
			return
		}
		s.lastRequestNanos.Store(time.Now().UnixNano())
		s.requestCount.Add(1)
		if !s.handle(c, m) {
			return
		}
	}
}

// handle processes a request under the next fault of the plan. It returns false if
// the connection must not be used again.
func (s *Server) handle(c *net.TCPConn, m *request) bool {
	switch s.nextFault() {
	case ResetBeforeRun:
		reset(c)
		return false
	case ResetAfterRun:
		s.execute(m)
		reset(c)
		return false
	case ResetMidAnswer:
		answer := s.execute(m)
		c.Write(answer[:len(answer)/2]) //nolint:errcheck // the connection is reset
		reset(c)
		return false
	case Truncate:
		answer := s.execute(m)
		c.Write(answer[:len(answer)-1]) //nolint:errcheck // the connection is closed
		return false
	case TruncateChunked:
		s.execute(m)
		io.WriteString(c, "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4\r\ncut \r\n") //nolint:errcheck // the connection is closed
		return false
	case Stall:
		s.execute(m)
		io.Copy(io.Discard, c) //nolint:errcheck // waits until the client closes the connection
		return false
	case LateAnswer:
		answer := s.execute(m)
		time.Sleep(lateDelay)
		_, err := c.Write(answer)
		return err == nil
	case LateRun:
		s.lateRuns.Add(1)
		defer s.lateRuns.Done()
		time.Sleep(lateDelay)
		_, err := c.Write(s.execute(m))
		return err == nil
	case Refuse:
		_, err := c.Write([]byte("HTTP/1.1 503 Busy\r\nSiskin-Outcome: not-run\r\nContent-Length: 0\r\n\r\n"))
		return err == nil
	}
	_, err := c.Write(s.execute(m))
	return err == nil
}

// execute executes m and returns the answer. It refuses m without execution if the
// replica has not reached the position that m must read.
func (s *Server) execute(m *request) []byte {
	if slots := s.config.Slots; slots != nil {
		slots <- struct{}{}
		defer func() { <-slots }()
	}
	if s.config.ServiceTime > 0 {
		time.Sleep(s.config.ServiceTime)
	}
	if r := s.config.Replica; r != nil && m.readPosition > r.Position(time.Now()) {
		return []byte(fmt.Sprintf("HTTP/1.1 503 Behind\r\nSiskin-Outcome: not-run\r\nSiskin-Position: %d\r\nContent-Length: 0\r\n\r\n",
			r.Position(time.Now())))
	}
	if s.config.Executions != nil {
		s.config.Executions.Add(m.id)
	}
	value, position := s.apply(m)
	body := Body(m.id, value)
	var b bytes.Buffer
	fmt.Fprintf(&b, "HTTP/1.1 200 OK\r\nContent-Type: text/plain\r\nContent-Length: %d\r\n", len(body))
	if position > 0 {
		fmt.Fprintf(&b, "Siskin-Position: %d\r\n", position)
	}
	if s.leaving.Load() {
		b.WriteString("Siskin-Leaving: true\r\n")
	}
	b.WriteString("\r\n")
	if m.method != "HEAD" {
		b.WriteString(body)
	}
	return b.Bytes()
}

// apply reads or writes the replica and returns the value and the replica's position.
// Without a replica it returns the body of the request.
func (s *Server) apply(m *request) (string, uint64) {
	r := s.config.Replica
	switch {
	case r == nil:
		return string(m.body), 0
	case m.method == "GET" || m.method == "HEAD":
		return r.Read(m.path, time.Now())
	}
	return m.id, r.Write(m.path, m.id, time.Now())
}

// Body returns the body of the answer to the request with the given identifier. It
// ends with a checksum over everything before it.
func Body(id, value string) string {
	text := "id " + id + "\nvalue " + value + "\n"
	h := fnv.New32a()
	io.WriteString(h, text) //nolint:errcheck // writing to a hash never fails
	return text + "sum " + strconv.FormatUint(uint64(h.Sum32()), 16) + "\n"
}

// ParseBody verifies the checksum of a body made by Body and returns its parts.
func ParseBody(body string) (id, value string, err error) {
	lines := strings.Split(body, "\n")
	if len(lines) != 4 {
		return "", "", fmt.Errorf("body %q: want three lines", body)
	}
	id = strings.TrimPrefix(lines[0], "id ")
	value = strings.TrimPrefix(lines[1], "value ")
	if Body(id, value) != body {
		return "", "", fmt.Errorf("body %q: wrong checksum", body)
	}
	return id, value, nil
}

func readRequest(r *bufio.Reader) (*request, error) {
	line, err := r.ReadString('\n')
	if err != nil {
		return nil, err
	}
	parts := strings.SplitN(strings.TrimSpace(line), " ", 3)
	if len(parts) != 3 {
		return nil, fmt.Errorf("request line %q: want three fields", line)
	}
	m := &request{method: parts[0], path: parts[1]}
	length, err := m.readHeader(r)
	if err != nil {
		return nil, err
	}
	return m, m.readBody(r, length)
}

// readHeader reads the header fields and returns the length of the body, which is
// negative for a chunked one.
func (m *request) readHeader(r *bufio.Reader) (int, error) {
	length := 0
	for {
		line, err := r.ReadString('\n')
		if err != nil {
			return 0, err
		}
		name, value, ok := strings.Cut(strings.TrimSpace(line), ":")
		if !ok {
			return length, nil
		}
		value = strings.TrimSpace(value)
		switch strings.ToLower(name) {
		case "content-length":
			length, err = strconv.Atoi(value)
		case "transfer-encoding":
			length = -1
		case "siskin-request-id":
			m.id = value
		case "idempotency-key":
			m.key = value
		case "siskin-read-position":
			m.readPosition, err = strconv.ParseUint(value, 10, 64)
		}
		if err != nil {
			return 0, err
		}
	}
}

func (m *request) readBody(r *bufio.Reader, length int) (err error) {
	if length >= 0 {
		m.body = make([]byte, length)
		_, err = io.ReadFull(r, m.body)
		return err
	}
	if m.body, err = io.ReadAll(httputil.NewChunkedReader(r)); err != nil {
		return err
	}
	_, err = r.Discard(len(lineEnd))
	return err
}
