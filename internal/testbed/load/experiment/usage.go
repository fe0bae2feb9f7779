package experiment

import (
	"runtime"
	"syscall"
	"time"
)

// ProcessUsage is the resource usage of the generator's process.
type ProcessUsage struct {
	CPU        time.Duration `json:"cpu_ns"`
	PeakKB     int64         `json:"peak_kb"`
	Mallocs    uint64        `json:"allocations"`
	AllocBytes uint64        `json:"allocated_bytes"`
}

// currentUsage returns the resource usage of this process since its start.
func currentUsage() (usage ProcessUsage) {
	var resources syscall.Rusage
	if syscall.Getrusage(syscall.RUSAGE_SELF, &resources) == nil {
		usage.CPU = time.Duration(resources.Utime.Nano() + resources.Stime.Nano())
		usage.PeakKB = resources.Maxrss
	}
	var memory runtime.MemStats
	runtime.ReadMemStats(&memory)
	usage.Mallocs, usage.AllocBytes = memory.Mallocs, memory.TotalAlloc
	return usage
}

// since returns the usage after an earlier measurement. PeakKB remains the peak since the start of the process.
func (p ProcessUsage) since(earlier ProcessUsage) ProcessUsage {
	return ProcessUsage{p.CPU - earlier.CPU, p.PeakKB, p.Mallocs - earlier.Mallocs, p.AllocBytes - earlier.AllocBytes}
}
