package fleet

// MachineSet is the set of machines that a leader knows. It tracks which of them have changed
// since the last ForEachChanged. The machines are also kept in a list, so that the order of
// iteration is deterministic.
type MachineSet struct {
	byName  map[string]*Machine
	list    []*Machine
	changed []*Machine
}

// NewMachineSet returns an empty set.
func NewMachineSet() *MachineSet { return &MachineSet{byName: map[string]*Machine{}} }

// Len returns the number of machines.
func (s *MachineSet) Len() int { return len(s.list) }

// Get returns the machine with a name, or nil.
func (s *MachineSet) Get(name string) *Machine { return s.byName[name] }

// All returns the machines. The slice belongs to the set, and Remove changes its contents.
func (s *MachineSet) All() []*Machine { return s.list }

// Add adds a machine that is not in the set.
func (s *MachineSet) Add(m *Machine) {
	m.set, m.index = s, len(s.list)
	s.list = append(s.list, m)
	s.byName[m.Name] = m
	m.MarkChanged()
}

// Remove removes a machine if it is in the set.
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

// MarkAllChanged marks all machines as changed for the next ForEachChanged.
func (s *MachineSet) MarkAllChanged() {
	for _, m := range s.list {
		m.MarkChanged()
	}
}

// ForEachChanged calls f for each machine that has changed since the last call. These include
// removed machines, which Get no longer returns.
func (s *MachineSet) ForEachChanged(f func(*Machine)) {
	for _, m := range s.changed {
		m.changed = false
		f(m)
	}
	clear(s.changed)
	s.changed = s.changed[:0]
}
