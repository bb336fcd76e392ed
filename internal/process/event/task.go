package event

import "github.com/sirupsen/logrus"

// Events of tasks and workers.
var (
	TaskStartFailed   = declare(4001, logrus.WarnLevel, "task start failed")
	WorkerUnreachable = declare(4002, logrus.WarnLevel, "worker unreachable")
	WorkerReachable   = declare(4003, logrus.InfoLevel, "worker reachable again")

	TaskThrottled = declare(5001, logrus.InfoLevel, "task throttled")
	TaskEvicted   = declare(5002, logrus.InfoLevel, "task evicted")
)
