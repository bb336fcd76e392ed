package platform

// Resources is a capacity vector. All fields are non-negative.
type Resources struct {
	// MilliCPU is processor time in thousandths of a core.
	MilliCPU int64 `json:"milli_cpu" cbor:"1,keyasint,omitempty"`
	// MemoryMB is memory in units of 10^6 bytes.
	MemoryMB int64 `json:"memory_mb" cbor:"2,keyasint,omitempty"`
	// Accelerators is the number of whole accelerators.
	Accelerators int64 `json:"accelerators" cbor:"3,keyasint,omitempty"`
	// Slots is the number of tasks.
	Slots int64 `json:"slots" cbor:"4,keyasint,omitempty"`
}

// Add returns the sum of r and o.
func (r Resources) Add(o Resources) Resources {
	return Resources{
		MilliCPU:     r.MilliCPU + o.MilliCPU,
		MemoryMB:     r.MemoryMB + o.MemoryMB,
		Accelerators: r.Accelerators + o.Accelerators,
		Slots:        r.Slots + o.Slots,
	}
}

// Sub returns r minus o. Fields of the result may be negative.
func (r Resources) Sub(o Resources) Resources {
	return Resources{
		MilliCPU:     r.MilliCPU - o.MilliCPU,
		MemoryMB:     r.MemoryMB - o.MemoryMB,
		Accelerators: r.Accelerators - o.Accelerators,
		Slots:        r.Slots - o.Slots,
	}
}

// Fits reports whether r is at most limit in every dimension.
func (r Resources) Fits(limit Resources) bool {
	return r.Exceeded(limit) == ""
}

// Exceeded returns the name of the first dimension in which r is greater than
// limit, or the empty string when r fits.
func (r Resources) Exceeded(limit Resources) string {
	switch {
	case r.MilliCPU > limit.MilliCPU:
		return "processors"
	case r.MemoryMB > limit.MemoryMB:
		return "memory"
	case r.Accelerators > limit.Accelerators:
		return "accelerators"
	case r.Slots > limit.Slots:
		return "slots"
	}
	return ""
}
