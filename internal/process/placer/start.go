package placer

import (
	"time"

	"github.com/sirupsen/logrus"
	"github.com/siskinvane/siskinvane/internal/platform/httpapi"
	"github.com/siskinvane/siskinvane/internal/process/settings"
	"github.com/siskinvane/siskinvane/internal/process/telemetry"
)

// StartOverHTTP starts a placer that accesses its platform over HTTP at the
// addresses in the settings.
func StartOverHTTP(h settings.Host, l *logrus.Logger, tracing *telemetry.Tracing) (*Placer, error) {
	client, err := httpapi.NewClient(0)
	if err != nil {
		return nil, err
	}
	return Start(Config{
		Host: h, Log: httpapi.NewLog(client.As(string(h.ID)), h.Log), HostList: httpapi.NewHostList(client, h.HostList),
		Dialer: httpapi.NewWorkerDialer(client.As(string(h.ID))), Logger: l, Tracing: tracing, Now: time.Now,
	})
}
