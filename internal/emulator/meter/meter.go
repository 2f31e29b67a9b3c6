// Package meter counts the messages and bytes that hosts of an emulated environment
// exchange, by host and kind of message.
package meter

import (
	"cmp"
	"net"
	"slices"
	"sync"
)

// Key identifies a count: a host and a kind of message.
type Key struct{ Host, Kind string }

// Count has the numbers of messages, refused messages, changes and bytes. BytesIn and BytesOut
// are as seen by the host.
type Count struct {
	Messages, Refused, Changes int64
	BytesIn, BytesOut          int64
}

// Add adds other to c.
func (c *Count) Add(other Count) {
	c.Messages += other.Messages
	c.Refused += other.Refused
	c.Changes += other.Changes
	c.BytesIn += other.BytesIn
	c.BytesOut += other.BytesOut
}

// Sub returns the difference between c and earlier, a previous count of the same key.
func (c Count) Sub(earlier Count) Count {
	return Count{c.Messages - earlier.Messages, c.Refused - earlier.Refused, c.Changes - earlier.Changes, c.BytesIn - earlier.BytesIn, c.BytesOut - earlier.BytesOut}
}

// Row is a count with its key.
type Row struct {
	Key
	Count
}

// Meter counts messages and bytes. It is safe for concurrent use. A nil Meter counts nothing.
type Meter struct {
	mu     sync.Mutex
	counts map[Key]*Count
}

// New returns a meter without counts.
func New() *Meter { return &Meter{counts: map[Key]*Count{}} }

// Add adds c to the count of k.
func (m *Meter) Add(k Key, c Count) {
	if m == nil {
		return
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.counts[k] == nil {
		m.counts[k] = &Count{}
	}
	m.counts[k].Add(c)
}

// Rows returns all counts, sorted by host and kind.
func (m *Meter) Rows() []Row {
	if m == nil {
		return nil
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	rows := make([]Row, 0, len(m.counts))
	for k, c := range m.counts {
		rows = append(rows, Row{k, *c})
	}
	slices.SortFunc(rows, func(a, b Row) int {
		return cmp.Or(cmp.Compare(a.Host, b.Host), cmp.Compare(a.Kind, b.Kind))
	})
	return rows
}

// Conn returns a connection that counts the bytes of c. near is the key of the local host, far
// that of the remote host. Nothing is counted for a zero Key.
func (m *Meter) Conn(c net.Conn, near, far Key) net.Conn {
	if m == nil {
		return c
	}
	return &conn{Conn: c, meter: m, near: near, far: far}
}

type conn struct {
	net.Conn
	meter     *Meter
	near, far Key
}

func (c *conn) count(in, out int) {
	if c.near != (Key{}) {
		c.meter.Add(c.near, Count{BytesIn: int64(in), BytesOut: int64(out)})
	}
	if c.far != (Key{}) {
		c.meter.Add(c.far, Count{BytesIn: int64(out), BytesOut: int64(in)})
	}
}

// Read reads from the connection and counts the bytes.
func (c *conn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	c.count(n, 0)
	return n, err
}

// Write writes to the connection and counts the bytes.
func (c *conn) Write(b []byte) (int, error) {
	n, err := c.Conn.Write(b)
	c.count(0, n)
	return n, err
}

// Listener returns a listener that counts the bytes of all connections that it accepts under far,
// the key of the remote host.
func (m *Meter) Listener(l net.Listener, far Key) net.Listener {
	if m == nil || far == (Key{}) {
		return l
	}
	return &listener{l, m, far}
}

type listener struct {
	net.Listener
	meter *Meter
	far   Key
}

// Accept accepts a connection and returns it with its bytes counted.
func (l *listener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return l.meter.Conn(c, Key{}, l.far), nil
}
