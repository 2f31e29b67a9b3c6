// Package meter counts the messages and bytes that hosts of an emulated environment
// exchange, by host and kind of message.
package meter

import (
	"cmp"
	"net"
	"slices"
	"sync"
)

// Key is what is counted: a kind of message of a host.
type Key struct{ Host, Kind string }

// Count is how much there was of something. Bytes are as seen by the host.
type Count struct {
	Messages, Refused, Changes int64
	BytesIn, BytesOut          int64
}

// Add adds another count.
func (c *Count) Add(o Count) {
	c.Messages += o.Messages
	c.Refused += o.Refused
	c.Changes += o.Changes
	c.BytesIn += o.BytesIn
	c.BytesOut += o.BytesOut
}

// Sub is what came since an earlier count.
func (c Count) Sub(o Count) Count {
	return Count{c.Messages - o.Messages, c.Refused - o.Refused, c.Changes - o.Changes, c.BytesIn - o.BytesIn, c.BytesOut - o.BytesOut}
}

// Row is a count with its key.
type Row struct {
	Key
	Count
}

// Meter counts. A nil Meter counts nothing.
type Meter struct {
	mu     sync.Mutex
	counts map[Key]*Count
}

// New makes a meter that has counted nothing.
func New() *Meter { return &Meter{counts: map[Key]*Count{}} }

// Add counts something.
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

// Rows are all counts, in the order of their keys.
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

// Conn counts the bytes of a connection: near is the host on this side of it, far
// the one on the other. Either may be the zero Key.
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

// Read counts what came in.
func (c *conn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	c.count(n, 0)
	return n, err
}

// Write counts what went out.
func (c *conn) Write(b []byte) (int, error) {
	n, err := c.Conn.Write(b)
	c.count(0, n)
	return n, err
}

// Listener counts the bytes of all connections that it accepts, for the host on
// their other side.
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

// Accept accepts a connection whose bytes are counted.
func (l *listener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return l.meter.Conn(c, Key{}, l.far), nil
}
