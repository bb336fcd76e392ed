package settings

import (
	"context"
	"os"
	"path/filepath"
	"strings"
	"syscall"
	"testing"
	"testing/synctest"
	"time"

	"github.com/shoenig/test/must"
)

const schedulerSettings = `{
  "host": "h1", "failure_domain": "catania",
  "callers": "10.1.0.1:80", "readiness": "10.1.0.1:81", "peer": "10.1.0.1:82",
  "store": "10.9.0.1:80", "memory_mb": 284, "processors": 1, "link_mbps": 12.5,
  "bounds": {"max_lease_ms": 10000, "stop_grace_ms": 900, "shutdown_s": 6, "remote_factor": 1.5, "retention_s": 120, "append_bytes": 2097152}
}`

func writeFile(t *testing.T, path, text string) {
	t.Helper()
	must.NoError(t, os.WriteFile(path, []byte(text), 0o600))
}

func TestLoadScheduler(t *testing.T) {
	path := filepath.Join(t.TempDir(), "settings.json")
	writeFile(t, path, schedulerSettings)
	s, err := LoadScheduler(path)
	must.NoError(t, err)
	must.Eq(t, "h1", string(s.Host))
	must.Eq(t, 6, s.Bounds.ShutdownSeconds)
	must.Eq(t, 12.5, s.LinkMbps)
}

func TestLoadSchedulerNamesFaults(t *testing.T) {
	cases := map[string][2]string{
		"unknown field":   {`"processors": 1`, `"processors": 1, "weight": 3`},
		"processors":      {`"processors": 1`, `"processors": 0`},
		"memory_mb":       {`"memory_mb": 284`, `"memory_mb": 1`},
		"peer":            {`"peer": "10.1.0.1:82"`, `"peer": "10.1.0.1:81"`},
		"store":           {`"store": "10.9.0.1:80"`, `"store": "10.9.0.1:0"`},
		"failure_domain":  {`"catania"`, `""`},
		"max_lease_ms":    {`"max_lease_ms": 10000`, `"max_lease_ms": 0`},
		"append_bytes":    {`"append_bytes": 2097152`, `"append_bytes": 100`},
		"evacuation_ms":   {`"stop_grace_ms"`, `"evacuation_ms": 100, "stop_grace_ms"`},
		"declarations_ms": {`"stop_grace_ms"`, `"declarations_ms": 100, "stop_grace_ms"`},
		"link_mbps":       {`"link_mbps": 12.5`, `"link_mbps": -1`},
		"max_descriptors": {`"processors": 1`, `"processors": 1, "max_descriptors": 3`},
		"retention_s":     {`"retention_s": 120`, `"retention_s": 0`},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			path := filepath.Join(t.TempDir(), "settings.json")
			writeFile(t, path, strings.Replace(schedulerSettings, c[0], c[1], 1))
			_, err := LoadScheduler(path)
			must.Error(t, err)
			if name != "unknown field" {
				must.ErrorContains(t, err, name)
			}
		})
	}
}

// TestWatch: a change is detected with and without a signal, and invalid settings leave
// the current ones in force.
func TestWatch(t *testing.T) {
	path := filepath.Join(t.TempDir(), "settings.json")
	writeFile(t, path, schedulerSettings)
	current, err := LoadScheduler(path)
	must.NoError(t, err)
	synctest.Test(t, func(t *testing.T) {
		ctx, stop := context.WithCancel(t.Context())
		hangup := make(chan os.Signal, 1)
		var seen []int64
		failures := 0
		go Watch(ctx, path, current, hangup, func(s Scheduler) { seen = append(seen, s.MemoryMB) }, func(error) { failures++ })
		wait := func() {
			time.Sleep(watchInterval + time.Millisecond)
			synctest.Wait()
		}
		wait()
		must.SliceEmpty(t, seen)
		writeFile(t, path, strings.Replace(schedulerSettings, "284", "1284", 1))
		wait()
		must.Eq(t, []int64{1284}, seen)
		writeFile(t, path, "{")
		wait()
		must.Eq(t, 1, failures)
		writeFile(t, path, schedulerSettings)
		hangup <- syscall.SIGHUP
		synctest.Wait()
		must.Eq(t, []int64{1284, 284}, seen)
		stop()
		synctest.Wait()
	})
}
