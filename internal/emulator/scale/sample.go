package scale

import (
	"fmt"
	"os"

	"github.com/prometheus/procfs"
)

// usage is the resource usage of a process: CPU time since its start, in seconds, and
// memory in MB, current and peak.
type usage struct {
	cpu, memory, peak float64
}

const bytesPerMB = 1 << 20

// processUsage reads the usage of a process.
func processUsage(fs procfs.FS, pid int) (usage, error) {
	proc, err := fs.Proc(pid)
	if err != nil {
		return usage{}, fmt.Errorf("process %d: %w", pid, err)
	}
	stat, err := proc.Stat()
	if err != nil {
		return usage{}, fmt.Errorf("process %d: %w", pid, err)
	}
	status, err := proc.NewStatus()
	if err != nil {
		return usage{}, fmt.Errorf("process %d: %w", pid, err)
	}
	return usage{cpu: stat.CPUTime(), memory: float64(status.VmRSS) / bytesPerMB, peak: float64(status.VmHWM) / bytesPerMB}, nil
}

// usages reads the usage of all processes of a run, by name. It leaves out processes that
// have no process ID or have just ended.
func usages(fs procfs.FS, pids map[string]int) map[string]usage {
	out := map[string]usage{}
	for name, pid := range pids {
		if pid == 0 {
			continue
		}
		if u, err := processUsage(fs, pid); err == nil {
			out[name] = u
		}
	}
	return out
}

// emulatorProcess is the name of the emulator's own process in the usage by process name.
const emulatorProcess = "emulator"

// ownPID returns the process ID of this process.
func ownPID() int { return os.Getpid() }
