package settings

import (
	"context"
	"fmt"
	"os"
	"time"
)

// watchInterval is the time between two checks of the settings file, which may change
// without a signal.
const watchInterval = time.Second

// Watch calls onChange with the new settings whenever a settings file changes, and
// onError if it cannot be read or is invalid. It checks the file every second and on each
// signal from reload, until ctx is done. After a signal it reports the settings or the
// error even if the file has not changed. A file that does not exist is reported only
// after a signal.
func Watch(ctx context.Context, path string, current Scheduler, reload <-chan os.Signal, onChange func(Scheduler), onError func(error)) {
	ticker := time.NewTicker(watchInterval)
	defer ticker.Stop()
	var lastInfo os.FileInfo
	for {
		requested := false
		select {
		case <-ctx.Done():
			return
		case <-reload:
			requested = true
		case <-ticker.C:
		}
		info, err := os.Stat(path)
		if err != nil {
			if requested {
				onError(fmt.Errorf("look at settings: %w", err))
			}
			continue
		}
		if !requested && lastInfo != nil && info.ModTime().Equal(lastInfo.ModTime()) && info.Size() == lastInfo.Size() {
			continue
		}
		lastInfo = info
		s, err := LoadScheduler(path)
		switch {
		case err != nil:
			onError(err)
		case s != current || requested:
			current = s
			onChange(s)
		}
	}
}
