package event

import (
	"github.com/sirupsen/logrus"
	"github.com/siskinvane/siskinvane/internal/process/logring"
)

// Events of a process's lifecycle.
var (
	ProcessStarted  = declare(1001, logrus.InfoLevel, "process started")
	ProcessReady    = declare(1002, logrus.InfoLevel, "process ready")
	ProcessDraining = declare(1003, logrus.InfoLevel, "process draining")
	ProcessStopped  = declare(1004, logrus.InfoLevel, "process stopped")
	ProcessFailed   = declare(1005, logrus.ErrorLevel, "process failed")
	ProcessReloaded = declare(1007, logrus.InfoLevel, "settings reloaded")
	LinesDropped    = declare(logring.DroppedEvent, logrus.WarnLevel, "log lines dropped")
	SettingsRefused = declare(1009, logrus.WarnLevel, "changed settings not usable")
	ProcessAborted  = declare(1006, logrus.WarnLevel, "process aborted by second signal")
)
