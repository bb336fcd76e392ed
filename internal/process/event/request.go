package event

import "github.com/sirupsen/logrus"

// Events of the request path.
var (
	SessionKeysLoaded  = declare(6001, logrus.InfoLevel, "session keys in use")
	SessionKeysRefused = declare(6002, logrus.WarnLevel, "session keys not usable")
	ClientTurnedAway   = declare(6003, logrus.InfoLevel, "client turned away")
)
