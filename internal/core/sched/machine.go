package sched

import (
	"cmp"
	"slices"

	"github.com/zinclb/zinclb/internal/core/fleet"
	"github.com/zinclb/zinclb/internal/core/jobstate"
)

// MachineClass is what machines have in common that decides whether a job may ever
// be on them, and whose partition they are in.
type MachineClass struct {
	Type, Zone string
	Spot       bool
	Partition  int
	Cap        jobstate.Resources
}

// compare is the order of classes in an index, and with it that of the groups that a
// round goes through.
func (c MachineClass) compare(o MachineClass) int {
	return cmp.Or(
		cmp.Compare(c.Type, o.Type),
		cmp.Compare(c.Zone, o.Zone),
		compareFalseFirst(c.Spot, o.Spot),
		cmp.Compare(c.Partition, o.Partition),
		cmp.Compare(c.Cap.GPU, o.Cap.GPU),
		cmp.Compare(c.Cap.CPU, o.Cap.CPU),
		cmp.Compare(c.Cap.Mem, o.Cap.Mem),
	)
}

// Machine is a machine that tasks may be placed on now. Its exported fields are
// set by the owner, who then calls Index.Put.
type Machine struct {
	Name, Type, Zone string
	Spot             bool
	Partition        int
	Cap, Free        jobstate.Resources
	// NextContact is when commands can get to it next: in the response to its worker's
	// next heartbeat, or at once if one is held for them.
	NextContact int64
	// FetchRate is in MB a second.
	FetchRate int64
	// Images are what it has or is fetching; the planner only reads them, and keeps what it
	// adds itself in plannedImages.
	Images map[string]fleet.Image
	// RunningTasks are what occupies it, by their ends. With LoadRunningTasks they are
	// there once that was called.
	RunningTasks []RunningTask

	group  *machineGroup
	free   jobstate.Resources // what it is ordered by in its group
	slot   uint32             // its number in the index
	images []*imageHolders

	// What follows is of one round.
	round         uint64
	tasksLoaded   bool
	imageWorth    int64
	reservations  []reservation
	plannedImages []string
}

// class is the class that the machine belongs to by its fields.
func (m *Machine) class() MachineClass {
	return MachineClass{Type: m.Type, Zone: m.Zone, Spot: m.Spot, Partition: m.Partition, Cap: m.Cap}
}

// willHaveImage says whether the machine has an image or will have it.
func (m *Machine) willHaveImage(name string) bool {
	for _, holders := range m.images {
		if holders.name == name {
			return true
		}
	}
	return slices.Contains(m.plannedImages, name)
}

// hasImage says whether an image is on the machine, and is not only being fetched.
func (m *Machine) hasImage(name string) bool {
	image, ok := m.Images[name]
	return ok && !image.Fetching
}

// claimedAhead says whether the machine is claimed for another job that j may
// not take it from.
func (m *Machine) claimedAhead(j *Job) bool {
	for i := range m.reservations {
		if r := &m.reservations[i]; r.kind == forClaim && r.blocks(j) {
			return true
		}
	}
	return false
}

// claimedFor says whether work is being stopped there for j.
func (m *Machine) claimedFor(j *Job) bool {
	for i := range m.reservations {
		if r := &m.reservations[i]; r.kind == forClaim && r.job.Job == j.Job {
			return true
		}
	}
	return false
}
