package slopes

// DeploymentSize is the size of a deployment: the numbers of objects and the rates of
// events that the control path must handle.
type DeploymentSize struct {
	Workers       float64
	Services      float64
	BatchTasks    float64
	JobsPerDay    float64
	StartsPerSec  float64
	Teams         float64
	ConfigPerDay  float64
	RestartsDaily float64
}

// TargetSize is the size that the system is designed for.
var TargetSize = DeploymentSize{
	Workers: 1400, Services: 5900, BatchTasks: 27000, JobsPerDay: 18000,
	StartsPerSec: 73, Teams: 340, ConfigPerDay: 1300, RestartsDaily: 419,
}

// Budget is what one entry host may spend on the control path. CorePercent is a
// percentage of one core.
type Budget struct {
	CorePercent float64
	MemoryMB    float64
	BytesPerSec float64
}

// NodeBudget is the budget of an entry host at the target size.
var NodeBudget = Budget{CorePercent: 1.3, MemoryMB: 256, BytesPerSec: 15_000}

const secondsPerDay = 24 * 3600
