package fleet

// MachineSet is the machines that a leader knows, and which of them have changed
// since it last looked. Sweeps over all of them go through a plain list, in
// an order that repeats.
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

// Add enters a machine that is not there.
func (s *MachineSet) Add(m *Machine) {
	m.set, m.index = s, len(s.list)
	s.list = append(s.list, m)
	s.byName[m.Name] = m
	m.MarkChanged()
}

// Remove forgets a machine.
func (s *MachineSet) Remove(m *Machine) {
	if s.byName[m.Name] != m {
		return
	}
	m.MarkChanged()
	last := s.list[len(s.list)-1]
	s.list[m.index], last.index = last, m.index
	s.list[len(s.list)-1] = nil
	s.list = s.list[:len(s.list)-1]
	delete(s.byName, m.Name)
}

// MarkAllChanged says that all machines are to be looked at again.
func (s *MachineSet) MarkAllChanged() {
	for _, m := range s.list {
		m.MarkChanged()
	}
}

// DrainChanged calls f for the machines that were touched since the last call; one
// that is not Get's any more was removed.
func (s *MachineSet) DrainChanged(f func(*Machine)) {
	for _, m := range s.changed {
		m.changed = false
		f(m)
	}
	clear(s.changed)
	s.changed = s.changed[:0]
}

// MarkChanged notes that what is known of the machine has changed. Put, Drop and Use
// do so themselves.
func (m *Machine) MarkChanged() {
	if m.set != nil && !m.changed {
		m.changed = true
		m.set.changed = append(m.set.changed, m)
	}
}
