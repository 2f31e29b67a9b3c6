package scale

import (
	"fmt"

	"github.com/prometheus/procfs"
)

// The limits of a run: a share of the machine's memory, and a number of processes.
const (
	memoryShare  = 0.5
	maxProcesses = 300
)

// Upper estimates of the memory of the parts of a run, in MB: a fixed amount and an amount for
// each worker. A run of 3,200 workers used 55% of this estimate.
const (
	emulatorMB               = 100
	emulatorMBPerWorker      = 0.15
	controllerMB             = 25
	controllerMBPerWorker    = 0.02
	workerProcessMB          = 30
	workerProcessMBPerWorker = 0.15
)

// Requirements are the resources that a run needs.
type Requirements struct {
	Processes int
	MemoryMB  float64
}

// Requirements estimates the resources that the run will need.
func (p *Plan) Requirements() Requirements {
	workers := float64(p.Workers)
	return Requirements{
		Processes: 1 + p.Controllers + p.Zones + p.Dedicated,
		MemoryMB: emulatorMB + emulatorMBPerWorker*workers + float64(p.Controllers)*(controllerMB+controllerMBPerWorker*workers) +
			float64(p.Zones+p.Dedicated)*workerProcessMB + workerProcessMBPerWorker*workers,
	}
}

// Limits are the resources of this machine that a run may use.
type Limits struct {
	Processes int
	MemoryMB  float64
}

// MachineLimits returns the limits, computed from the machine's memory.
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

// Fits returns an error that names the exceeded limit if the requirements exceed limits.
func (n Requirements) Fits(limits Limits) error {
	if n.Processes > limits.Processes {
		return fmt.Errorf("controllers, zones, alone: the run needs %d processes, and %d are allowed", n.Processes, limits.Processes)
	}
	if n.MemoryMB > limits.MemoryMB {
		return fmt.Errorf("workers: the run needs about %.0f MB, and half of the machine's memory is %.0f MB", n.MemoryMB, limits.MemoryMB)
	}
	return nil
}
