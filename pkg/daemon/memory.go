package daemon

import (
	"runtime/debug"

	"golang.org/x/sys/unix"

	"github.com/sycamorehub/sycamorehub/pkg/kernel"
	"github.com/sycamorehub/sycamorehub/pkg/membudget"
	"github.com/sycamorehub/sycamorehub/pkg/session"
	"github.com/sycamorehub/sycamorehub/pkg/settings"
)

const (
	// messageShare is the part of the process's memory that messages of callers may take. The rest is for connections, for lists
	// and for what the runtime has not reclaimed yet.
	messageShare = 0.2
	// stateShare is the part that sessions may keep between statements.
	stateShare = 0.15
	// softLimitShare is the part from which on the runtime reclaims memory at the cost of processor time.
	softLimitShare = 0.7
)

// newMemory returns the budget for messages of callers, and sets the soft limit of the runtime.
func newMemory(k *kernel.Kernel) (any, error) {
	memory := processMemory(k)
	if memory == 0 {
		return (*membudget.Budget)(nil), nil
	}
	debug.SetMemoryLimit(int64(softLimitShare * float64(memory)))
	return membudget.New(int64(messageShare * float64(memory))), nil
}

// newSessionMemory returns the room for what sessions keep between statements.
func newSessionMemory(k *kernel.Kernel) (any, error) {
	memory := processMemory(k)
	if memory == 0 {
		return (*session.Memory)(nil), nil
	}
	return session.NewMemory(int64(stateShare * float64(memory))), nil
}

// processMemory returns the memory that the process may use, or 0 if it is not known.
func processMemory(k *kernel.Kernel) int64 {
	if mb := kernel.MustLookup[*settings.Settings](k, nameSettings).Limits.MemoryMB; mb != 0 {
		return int64(mb) << 20
	}
	return machineMemory()
}

// machineMemory returns the memory of the machine, or 0 if it is not known.
func machineMemory() int64 {
	var info unix.Sysinfo_t
	if unix.Sysinfo(&info) != nil {
		return 0
	}
	return int64(info.Totalram) * int64(info.Unit)
}
