package event

import "github.com/sirupsen/logrus"

// Events of jobs, the shard's owner and the platform's services.
var (
	JobAccepted       = declare(7001, logrus.InfoLevel, "job accepted")
	JobRefused        = declare(7002, logrus.InfoLevel, "job refused")
	JobOutcomeUnknown = declare(7003, logrus.WarnLevel, "job's outcome unknown")
	JobCancelled      = declare(7004, logrus.InfoLevel, "job cancelled")
	JobInvalid        = declare(7005, logrus.InfoLevel, "job invalid")
	StateUnanswered   = declare(7006, logrus.WarnLevel, "job's state not answered")
	CountUnanswered   = declare(7007, logrus.WarnLevel, "number of waiting jobs not answered")

	UnknownJobCancelled = declare(7008, logrus.InfoLevel, "unknown job cancelled")

	TaskStarted    = declare(7110, logrus.InfoLevel, "task started")
	AttemptEnded   = declare(7111, logrus.InfoLevel, "attempt ended")
	JobEnded       = declare(7112, logrus.InfoLevel, "job over")
	StepWaiting    = declare(7113, logrus.InfoLevel, "step waits")
	TaskPaced      = declare(7114, logrus.InfoLevel, "task paced")
	StopOrdered    = declare(7115, logrus.InfoLevel, "task ordered to stop")
	WorkerSetAside = declare(7117, logrus.InfoLevel, "worker set aside")
	AttemptLost    = declare(7116, logrus.InfoLevel, "attempt given up")

	WorkerLostUnderTask = declare(7118, logrus.InfoLevel, "worker lost under a task")
	TaskOnTrial         = declare(7119, logrus.InfoLevel, "task on trial")
	WorkerReserved      = declare(7120, logrus.InfoLevel, "worker reserved for a step")

	StartNotAccepted = declare(7101, logrus.InfoLevel, "start not accepted")
	AdviceFailed     = declare(7104, logrus.WarnLevel, "advice not given")
	AdviceUnreadable = declare(7105, logrus.WarnLevel, "advice partly unreadable")
	PaceFailed       = declare(7103, logrus.WarnLevel, "pace not accepted")

	OwnerUnreachable  = declare(7208, logrus.WarnLevel, "shard's owner not reached")
	OwnershipGained   = declare(7201, logrus.InfoLevel, "shard taken over")
	OwnershipLost     = declare(7202, logrus.WarnLevel, "shard given up")
	OwnershipReleased = declare(7207, logrus.InfoLevel, "shard released to the next owner")
	OwnershipFailed   = declare(7203, logrus.WarnLevel, "shard not taken over")
	ShardHandedBack   = declare(7209, logrus.InfoLevel, "shard handed to a preferred host")
	StandbyJoined     = declare(7210, logrus.InfoLevel, "standby host joins: no live owner")
	HandBackFailed    = declare(7211, logrus.WarnLevel, "shard not handed to a preferred host")
	SteppedAside      = declare(7212, logrus.WarnLevel, "host leaves the shard to others")
	ShardNotTaken     = declare(7213, logrus.WarnLevel, "no host takes the shard over")
	WorkersUnheard    = declare(7214, logrus.InfoLevel, "workers of earlier owners not heard")
	WorkerRestarted   = declare(7215, logrus.InfoLevel, "worker restarted")
	OwnerTold         = declare(7219, logrus.InfoLevel, "shard's owner learned from another host")
	CallLate          = declare(7218, logrus.InfoLevel, "call of another host came late")
	RecordNotEncoded  = declare(7204, logrus.ErrorLevel, "record not encoded")
	RecordRefused     = declare(7217, logrus.ErrorLevel, "record refused")
	RecordDelayed     = declare(7205, logrus.WarnLevel, "record delayed")
	RecordUnreadable  = declare(7206, logrus.WarnLevel, "record unreadable")

	StoreLost         = declare(7301, logrus.WarnLevel, "store lost")
	StoreRegained     = declare(7302, logrus.InfoLevel, "store regained")
	QueuesInForce     = declare(7303, logrus.InfoLevel, "queues in force")
	QueuesRefused     = declare(7304, logrus.WarnLevel, "queues not usable")
	AnswerOverdue     = declare(7306, logrus.InfoLevel, "store's answer overdue")
	PartitionLost     = declare(7307, logrus.WarnLevel, "shard's partition lost")
	PartitionRegained = declare(7308, logrus.InfoLevel, "shard's partition regained")
	EntryUnreadable   = declare(7305, logrus.WarnLevel, "worker's entry unreadable")

	UpkeepOrdered       = declare(7401, logrus.InfoLevel, "upkeep of a machine ordered")
	WaveReported        = declare(7402, logrus.InfoLevel, "state of a wave reported")
	MachinesUnreachable = declare(7403, logrus.WarnLevel, "list of machines not read")
	WaveUnreadable      = declare(7404, logrus.WarnLevel, "wave unreadable")
	WaveLate            = declare(7405, logrus.WarnLevel, "wave late")

	EvacuationBegun   = declare(7501, logrus.InfoLevel, "failure domain evacuated")
	EvacuationEnded   = declare(7502, logrus.InfoLevel, "failure domain taken back")
	EvacuationObeyed  = declare(7503, logrus.InfoLevel, "evacuation obeyed by the shard's owner")
	EvacuationNowhere = declare(7504, logrus.WarnLevel, "evacuated failure domain has no workers")
	EvacuationOdd     = declare(7505, logrus.WarnLevel, "evacuation unreadable")
)
