package scale

import (
	"fmt"

	"github.com/prometheus/procfs"
)

// What a run takes of the machine, at most: a share of its memory, and processes.
const (
	memoryShare  = 0.5
	maxProcesses = 300
)

// What parts of a run hold at most, in MB, by themselves and for each worker: a run
// of 3,200 workers held 55% of what this reckons.
const (
	emulatorMB               = 100
	emulatorMBPerWorker      = 0.15
	controllerMB             = 25
	controllerMBPerWorker    = 0.02
	workerProcessMB          = 30
	workerProcessMBPerWorker = 0.15
)

// Requirements is what a run takes.
type Requirements struct {
	Processes int
	MemoryMB  float64
}

// Requirements reckons what the run will take.
func (p *Plan) Requirements() Requirements {
	workers := float64(p.Workers)
	return Requirements{
		Processes: 1 + p.Controllers + p.Zones + p.Dedicated,
		MemoryMB: emulatorMB + emulatorMBPerWorker*workers + float64(p.Controllers)*(controllerMB+controllerMBPerWorker*workers) +
			float64(p.Zones+p.Dedicated)*workerProcessMB + workerProcessMBPerWorker*workers,
	}
}

// Limits are what may be taken of this machine.
type Limits struct {
	Processes int
	MemoryMB  float64
}

// MachineLimits reads the machine's memory.
func MachineLimits() (Limits, error) {
	fs, err := procfs.NewDefaultFS()
	if err != nil {
		return Limits{}, fmt.Errorf("read the machine's memory: %w", err)
	}
	m, err := fs.Meminfo()
	if err != nil {
		return Limits{}, fmt.Errorf("read the machine's memory: %w", err)
	}
	if m.MemTotal == nil {
		return Limits{}, fmt.Errorf("read the machine's memory: MemTotal is missing")
	}
	return Limits{Processes: maxProcesses, MemoryMB: memoryShare * float64(*m.MemTotal) / 1024}, nil
}

// Fits refuses what would take too much, and says which limit.
func (n Requirements) Fits(l Limits) error {
	if n.Processes > l.Processes {
		return fmt.Errorf("controllers, zones, alone: the run needs %d processes, and %d are allowed", n.Processes, l.Processes)
	}
	if n.MemoryMB > l.MemoryMB {
		return fmt.Errorf("workers: the run needs about %.0f MB, and half of the machine's memory is %.0f MB", n.MemoryMB, l.MemoryMB)
	}
	return nil
}
