package placer

import (
	"context"
	"errors"

	"github.com/cloudwego/hertz/pkg/app"
	"github.com/siskinvane/siskinvane/internal/platform/httpapi"
	"github.com/siskinvane/siskinvane/internal/process/web"
)

// Reasons for which a host is not ready.
var (
	errNoConfig      = errors.New("neither the log nor a peer has given the configuration")
	errPeersNotHeard = errors.New("peers were not heard yet")
	errConfigBehind  = errors.New("a peer reports a later configuration")
)

// checkReady returns nil if this host has the state that it needs to operate, else
// the reason why not.
func (p *Placer) checkReady() error {
	now := p.config.Now()
	if !p.members.RoundComplete(now) {
		return errPeersNotHeard
	}
	if !p.hasConfig() {
		return errNoConfig
	}
	version := p.configVersion()
	for _, m := range p.members.Live(now) {
		if m.ConfigVersion > version {
			return errConfigBehind
		}
	}
	return nil
}

func (p *Placer) handleReady(_ context.Context, c *app.RequestContext) {
	if err := p.checkReady(); err != nil {
		web.WriteError(c, 503, httpapi.CodeUnavailable, err.Error())
		return
	}
	web.WriteJSON(c, None{})
}
