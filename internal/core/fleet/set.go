package fleet

// Set is the machines that a leader knows, and which of them have changed
// since it last looked. Sweeps over all of them go through a plain list, in
// an order that repeats.
type Set struct {
	byName  map[string]*Machine
	list    []*Machine
	changed []*Machine
}

// NewSet makes an empty set.
func NewSet() *Set { return &Set{byName: map[string]*Machine{}} }

// Len is how many machines there are.
func (s *Set) Len() int { return len(s.list) }

// Get returns a machine, or nil.
func (s *Set) Get(name string) *Machine { return s.byName[name] }

// All lists the machines; the list is the set's own, and Remove changes it.
func (s *Set) All() []*Machine { return s.list }

// Add enters a machine that is not there.
func (s *Set) Add(m *Machine) {
	m.set, m.at = s, len(s.list)
	s.list = append(s.list, m)
	s.byName[m.Name] = m
	m.Touch()
}

// Remove forgets a machine.
func (s *Set) Remove(m *Machine) {
	if s.byName[m.Name] != m {
		return
	}
	m.Touch()
	last := s.list[len(s.list)-1]
	s.list[m.at], last.at = last, m.at
	s.list[len(s.list)-1] = nil
	s.list = s.list[:len(s.list)-1]
	delete(s.byName, m.Name)
}

// TouchAll says that all machines are to be looked at again.
func (s *Set) TouchAll() {
	for _, m := range s.list {
		m.Touch()
	}
}

// Changed calls f for the machines that were touched since the last call; one
// that is not Get's any more was removed.
func (s *Set) Changed(f func(*Machine)) {
	for _, m := range s.changed {
		m.touched = false
		f(m)
	}
	clear(s.changed)
	s.changed = s.changed[:0]
}

// Touch notes that what is known of the machine has changed. Put, Drop and Use
// do so themselves.
func (m *Machine) Touch() {
	if m.set != nil && !m.touched {
		m.touched = true
		m.set.changed = append(m.set.changed, m)
	}
}
