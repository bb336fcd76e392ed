package ctl

import (
	"fmt"
	"time"

	"github.com/siskinvane/siskinvane/internal/process/placer"
)

type drainCommand struct {
	cli     *cli
	Timeout time.Duration `long:"timeout" default:"60s" description:"how long the host may take"`
}

// Execute drains the host at the address of --control and returns once the host
// owns no shard.
func (d *drainCommand) Execute([]string) error {
	deadline := d.cli.now().Add(d.Timeout)
	for {
		var reply placer.DrainReply
		if err := d.cli.call("POST", placer.PathDrain, nil, &reply); err != nil {
			return err
		}
		if reply.Owned == 0 {
			return d.cli.print(reply, "%s owns no shard and may be stopped\n", reply.Host)
		}
		if d.cli.now().After(deadline) {
			return fmt.Errorf("%s still owns %d shards after %s; no other host can take them", reply.Host, reply.Owned, d.Timeout)
		}
		d.cli.sleep(pollInterval)
	}
}
