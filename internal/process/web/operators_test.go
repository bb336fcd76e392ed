package web

import (
	"context"
	"io"
	"net/netip"
	"testing"
	"time"

	"github.com/cloudwego/hertz/pkg/app"
	"github.com/shoenig/test/must"
	"github.com/sirupsen/logrus"
	logtest "github.com/sirupsen/logrus/hooks/test"
)

// TestOperatorsServerTakesBodiesOverLimit guards against a program that ends for lack of memory as
// its address for operators takes in whatever it is sent.
func TestOperatorsServerTakesBodiesOverLimit(t *testing.T) {
	logger := logrus.New()
	logger.SetOutput(io.Discard)
	hook := logtest.NewLocal(logger)
	s, err := ListenOperators(netip.MustParseAddrPort("127.0.0.1:0"), logger, "control")
	must.NoError(t, err)
	s.POST("/", func(_ context.Context, c *app.RequestContext) { c.String(200, "ok") })
	s.Start()
	t.Cleanup(func() { must.NoError(t, s.Stop(context.Background())) })
	c := dial(t, s)
	c.send(post + "Content-Length: 16000000\r\n\r\n")
	answer, _ := c.answer()
	must.Eq(t, 413, answer.StatusCode)
	must.Eq(t, "control", hook.LastEntry().Data["server"].(string))
	c = dial(t, s)
	c.send(post + "Content-Length: 2\r\n\r\nxx")
	answer, _ = c.answer()
	must.Eq(t, 200, answer.StatusCode)
}

// TestRefusalLinesAreBounded: a crowd must not fill the log.
func TestRefusalLinesAreBounded(t *testing.T) {
	logger := logrus.New()
	logger.SetOutput(io.Discard)
	hook := logtest.NewLocal(logger)
	lines := NewRefusalLog(logger, "callers")
	start := time.Unix(1000, 0)
	for i := range 1001 {
		lines.Add(Displaced, 1, 2, start.Add(time.Duration(i)*time.Millisecond))
	}
	must.SliceLen(t, 2, hook.Entries)
	must.Eq(t, 1000, hook.LastEntry().Data["clients"].(int))
}
