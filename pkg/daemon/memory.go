package daemon

import (
	"runtime/debug"

	"golang.org/x/sys/unix"

	"github.com/sycamorehub/sycamorehub/pkg/kernel"
	"github.com/sycamorehub/sycamorehub/pkg/membudget"
	"github.com/sycamorehub/sycamorehub/pkg/settings"
)

const (
	// messageShare is the part of the process's memory that messages of callers may take. The rest is for connections, for lists
	// and for what the runtime has not reclaimed yet.
	messageShare = 0.2
	// softLimitShare is the part from which on the runtime reclaims memory at the cost of processor time.
	softLimitShare = 0.7
)

// newMemory returns the budget for messages of callers, and sets the soft limit of the runtime.
func newMemory(k *kernel.Kernel) (any, error) {
	memory := int64(kernel.MustLookup[*settings.Settings](k, nameSettings).Limits.MemoryMB) << 20
	if memory == 0 {
		memory = machineMemory()
	}
	if memory == 0 {
		return (*membudget.Budget)(nil), nil
	}
	debug.SetMemoryLimit(int64(softLimitShare * float64(memory)))
	return membudget.New(int64(messageShare * float64(memory))), nil
}

// machineMemory returns the memory of the machine, or 0 if it is not known.
func machineMemory() int64 {
	var info unix.Sysinfo_t
	if unix.Sysinfo(&info) != nil {
		return 0
	}
	return int64(info.Totalram) * int64(info.Unit)
}
