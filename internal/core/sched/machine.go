package sched

import (
	"cmp"
	"slices"

	"github.com/zinclb/zinclb/internal/core/fleet"
	"github.com/zinclb/zinclb/internal/core/jobstate"
)

// MachineClass holds the properties that determine whether a job may ever be placed on a
// machine, and the partition that the machine belongs to.
type MachineClass struct {
	Type, Zone string
	Spot       bool
	Partition  int
	Cap        jobstate.Resources
}

// compare defines the order of classes in an index, and so the order in which a round visits
// the groups.
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

// Machine is a machine on which tasks may be placed now. The owner sets its exported fields and
// then calls Index.Put.
type Machine struct {
	Name, Type, Zone string
	Spot             bool
	Partition        int
	Cap, Free        jobstate.Resources
	// NextContact is the next time at which commands can be sent to the machine: with the
	// response to its worker's next heartbeat, or immediately if the response to a heartbeat
	// is held back for commands.
	NextContact int64
	// FetchRate is the rate of image fetches in MB per second.
	FetchRate int64
	// Images are the images that the machine has or is fetching. The planner only reads
	// them, and adds the images that it plans to fetch to plannedImages.
	Images map[string]fleet.Image
	// RunningTasks are the tasks that occupy the machine, in the order of their estimated
	// ends. If Planner.LoadRunningTasks is set, they are valid only after its call for the
	// machine in the current round.
	RunningTasks []RunningTask

	group  *machineGroup
	free   jobstate.Resources // sort key in the group
	slot   uint32             // number in the index
	images []*imageHolders

	// The following fields are state of the planning round with number round.
	round         uint64
	tasksLoaded   bool
	imageWorth    int64
	reservations  []reservation
	plannedImages []string
}

// class returns the class of the machine according to its current fields.
func (m *Machine) class() MachineClass {
	return MachineClass{Type: m.Type, Zone: m.Zone, Spot: m.Spot, Partition: m.Partition, Cap: m.Cap}
}

// willHaveImage reports whether the machine has an image, is fetching it, or will fetch it for
// a task placed in this round.
func (m *Machine) willHaveImage(name string) bool {
	for _, holders := range m.images {
		if holders.name == name {
			return true
		}
	}
	return slices.Contains(m.plannedImages, name)
}

// hasImage reports whether the machine has an image and is not still fetching it.
func (m *Machine) hasImage(name string) bool {
	image, ok := m.Images[name]
	return ok && !image.Fetching
}

// claimedAhead reports whether the machine is claimed for another job that goes before j.
func (m *Machine) claimedAhead(j *Job) bool {
	for i := range m.reservations {
		if r := &m.reservations[i]; r.kind == forClaim && r.blocks(j) {
			return true
		}
	}
	return false
}

// claimedFor reports whether the machine is claimed for j, as work on it is being stopped for
// j.
func (m *Machine) claimedFor(j *Job) bool {
	for i := range m.reservations {
		if r := &m.reservations[i]; r.kind == forClaim && r.job.Job == j.Job {
			return true
		}
	}
	return false
}
