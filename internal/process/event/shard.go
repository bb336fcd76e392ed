package event

import "github.com/sirupsen/logrus"

// Events of shards and membership.
var (
	ShardClaimed  = declare(3001, logrus.InfoLevel, "shard claimed")
	ShardLost     = declare(3002, logrus.WarnLevel, "shard lost")
	StepFailed    = declare(3003, logrus.WarnLevel, "shard step failed")
	ConfigInForce = declare(3004, logrus.InfoLevel, "configuration in force")
	ConfigDiffers = declare(3005, logrus.ErrorLevel, "configuration differs from a peer's at the same offset")
	ShardReleased = declare(3006, logrus.InfoLevel, "shard released")
	// HeartbeatNotSent: the host's facts could not be encoded.
	HeartbeatNotSent = declare(3007, logrus.ErrorLevel, "heartbeat not sent")
	// MembersNotFollowed: the host's connection shares stay as they are.
	MembersNotFollowed = declare(3008, logrus.ErrorLevel, "members are not followed")
)
