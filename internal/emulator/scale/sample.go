package scale

import (
	"fmt"
	"os"

	"github.com/prometheus/procfs"
)

// usage is what a process has used: processor time since its start, in seconds,
// and memory in MB, now and at its peak.
type usage struct {
	cpu, memory, peak float64
}

const bytesPerMB = 1 << 20

// processUsage reads a process's usage.
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

// usages reads those of all processes of a run by name; those that have just ended
// are left out.
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

// emulatorProcess is the name of the emulator's own process among the others.
const emulatorProcess = "emulator"

// ownPID is this process's number.
func ownPID() int { return os.Getpid() }
