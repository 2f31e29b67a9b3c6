package fleet

// MachineSet is the machines that a leader knows, and which of them have changed since it
// last looked. All of them are gone through by a plain list, in an order that repeats.
type MachineSet struct {
	byName  map[string]*Machine
	list    []*Machine
	changed []*Machine
}

// NewMachineSet makes an empty set.
func NewMachineSet() *MachineSet { return &MachineSet{byName: map[string]*Machine{}} }

// Len is how many machines there are.
func (s *MachineSet) Len() int { return len(s.list) }

// Get returns a machine, or nil.
func (s *MachineSet) Get(name string) *Machine { return s.byName[name] }

// All lists the machines; the list is the set's own, and Remove changes it.
func (s *MachineSet) All() []*Machine { return s.list }

// Add enters a machine that is not in the set.
func (s *MachineSet) Add(m *Machine) {
	m.set, m.index = s, len(s.list)
	s.list = append(s.list, m)
	s.byName[m.Name] = m
	m.MarkChanged()
}

// Remove drops a machine.
func (s *MachineSet) Remove(m *Machine) {
	if s.byName[m.Name] != m {
		return
	}
	m.MarkChanged()
	last := len(s.list) - 1
	moved := s.list[last]
	s.list[m.index], moved.index = moved, m.index
	s.list[last] = nil
	s.list = s.list[:last]
	delete(s.byName, m.Name)
}

// MarkAllChanged has ForEachChanged go through all machines.
func (s *MachineSet) MarkAllChanged() {
	for _, m := range s.list {
		m.MarkChanged()
	}
}

// ForEachChanged calls f for the machines that have changed since the last call, removed
// ones among them: Get does not return those any more.
func (s *MachineSet) ForEachChanged(f func(*Machine)) {
	for _, m := range s.changed {
		m.changed = false
		f(m)
	}
	clear(s.changed)
	s.changed = s.changed[:0]
}
