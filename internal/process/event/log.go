package event

import "github.com/sirupsen/logrus"

// Events of the log and the snapshots in it.
var (
	StateReloaded   = declare(2001, logrus.WarnLevel, "state reloaded from snapshot")
	SnapshotWritten = declare(2002, logrus.InfoLevel, "snapshot written")
	SnapshotFailed  = declare(2003, logrus.WarnLevel, "snapshot failed")
)
