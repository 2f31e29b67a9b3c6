// Package store is the client of the state service.
package store

import (
	"encoding/json"
	"errors"
	"fmt"
	"net/url"
	"strconv"
	"time"

	"github.com/zinclb/zinclb/internal/core"
	"github.com/zinclb/zinclb/internal/httpwire"
)

// maxBody bounds the service's answers: watches bring all changes at once.
const maxBody = 16 << 20

// Client calls the state service.
type Client struct {
	http *httpwire.Client
}

// New makes a client with at most conns connections.
func New(addr string, conns int) *Client {
	return &Client{http: httpwire.NewClient(addr, conns, maxBody)}
}

// Close closes all connections. Calls under way and later ones fail.
func (c *Client) Close() { c.http.Close() }

// StatusError is an answer other than those a call expects.
type StatusError int

// Refused says that the service has answered, so that it can be reached.
func (e StatusError) Refused() bool { return true }

func (e StatusError) Error() string { return "state service answered " + strconv.Itoa(int(e)) }

type rowWire struct {
	Key      string          `json:"path"`
	Value    json.RawMessage `json:"data"`
	Revision uint64          `json:"stamp"`
}

// List reads all keys of a prefix, page by page; pace is called before each. The
// revision returned is that of the first page, so that watching from it misses
// nothing.
func (c *Client) List(prefix string, pace func()) (rows []core.Change, ledger uint64, err error) {
	after := ""
	for page := 0; ; page++ {
		target := "/kv?starts=" + url.QueryEscape(prefix) + "&most=500"
		if after != "" {
			target += "&after=" + url.QueryEscape(after)
		}
		pace()
		m, err := c.http.Do("GET", target, nil, 5*time.Second)
		if err != nil {
			return nil, 0, err
		}
		if m.Status != 200 {
			return nil, 0, StatusError(m.Status)
		}
		var w struct {
			Rows   []rowWire `json:"rows"`
			More   bool      `json:"truncated"`
			Ledger uint64    `json:"ledger"`
		}
		if err := json.Unmarshal(m.Body, &w); err != nil {
			return nil, 0, fmt.Errorf("list: %w", err)
		}
		if page == 0 {
			ledger = w.Ledger
		}
		for _, r := range w.Rows {
			rows = append(rows, core.Change{Key: r.Key, Value: r.Value, Revision: r.Revision})
			after = r.Key
		}
		if !w.More || len(w.Rows) == 0 {
			return rows, ledger, nil
		}
	}
}

// Get reads a key; stamp 0 means that it does not exist.
func (c *Client) Get(key string) (value []byte, stamp uint64, err error) {
	m, err := c.http.Do("GET", "/kv/"+key, nil, 1500*time.Millisecond)
	switch {
	case err != nil:
		return nil, 0, err
	case m.Status == 404:
		return nil, 0, nil
	case m.Status != 200:
		return nil, 0, StatusError(m.Status)
	}
	var w rowWire
	if err := json.Unmarshal(m.Body, &w); err != nil {
		return nil, 0, fmt.Errorf("get: %w", err)
	}
	if w.Revision == 0 {
		return nil, 0, errors.New("get: no stamp")
	}
	return w.Value, w.Revision, nil
}

type conditionWire struct {
	Key      string `json:"path"`
	Revision uint64 `json:"stamp"`
}

type writeWire struct {
	Put    string          `json:"put,omitempty"`
	Value  json.RawMessage `json:"data,omitempty"`
	Lease  uint64          `json:"tenure,omitempty"`
	Delete string          `json:"remove,omitempty"`
}

// Transact executes a transaction. Status 0 means that its outcome is unknown.
func (c *Client) Transact(t core.CommitTransaction, timeout time.Duration) core.Committed {
	var w struct {
		When   []conditionWire `json:"when"`
		Writes []writeWire     `json:"writes"`
	}
	for _, k := range t.Conditions {
		w.When = append(w.When, conditionWire(k))
	}
	for _, x := range t.Writes {
		if x.Value == nil {
			w.Writes = append(w.Writes, writeWire{Delete: x.Key})
		} else {
			w.Writes = append(w.Writes, writeWire{Put: x.Key, Value: x.Value, Lease: x.Lease})
		}
	}
	body, err := json.Marshal(w)
	if err != nil {
		return core.Committed{ID: t.ID, Status: 400}
	}
	m, err := c.http.Do("POST", "/multi", body, timeout)
	if err != nil {
		return core.Committed{ID: t.ID}
	}
	var r struct {
		Ledger uint64   `json:"ledger"`
		Failed []string `json:"failed"`
	}
	if m.Status == 200 || m.Status == 409 {
		if err := json.Unmarshal(m.Body, &r); err != nil {
			return core.Committed{ID: t.ID}
		}
	}
	return core.Committed{ID: t.ID, Status: m.Status, Revision: r.Ledger, Failed: r.Failed}
}

// GrantLease opens a lease.
func (c *Client) GrantLease(ttl time.Duration) (uint64, error) {
	m, err := c.http.Do("POST", "/leases", []byte(`{"life_ms":`+strconv.FormatInt(ttl.Milliseconds(), 10)+`}`), time.Second)
	if err != nil {
		return 0, err
	}
	if m.Status != 200 {
		return 0, StatusError(m.Status)
	}
	var r struct {
		Lease uint64 `json:"tenure"`
	}
	if err := json.Unmarshal(m.Body, &r); err != nil || r.Lease == 0 {
		return 0, fmt.Errorf("lease: bad answer %w", err)
	}
	return r.Lease, nil
}

// RenewLease renews a lease; gone says that it has ended.
func (c *Client) RenewLease(lease uint64) (gone bool, err error) {
	m, err := c.http.Do("POST", "/leases/"+strconv.FormatUint(lease, 10)+"/touch", []byte("{}"), time.Second)
	switch {
	case err != nil:
		return false, err
	case m.Status == 404:
		return true, nil
	case m.Status != 200:
		return false, StatusError(m.Status)
	}
	return false, nil
}

// RevokeLease ends a lease.
func (c *Client) RevokeLease(lease uint64) error {
	_, err := c.http.Do("DELETE", "/leases/"+strconv.FormatUint(lease, 10), nil, time.Second)
	return err
}

// Watch waits for changes of a prefix after a revision.
func (c *Client) Watch(prefix string, after uint64, wait time.Duration) (w core.StateRead) {
	w.AfterRevision = after
	target := "/watch?starts=" + url.QueryEscape(prefix) + "&after=" + strconv.FormatUint(after, 10) +
		"&wait_ms=" + strconv.FormatInt(wait.Milliseconds(), 10)
	m, err := c.http.Do("GET", target, nil, wait+1500*time.Millisecond)
	if err != nil {
		w.Err = err
		return w
	}
	if m.Status == 410 {
		w.Compacted = true
		return w
	}
	if m.Status != 200 {
		w.Err = StatusError(m.Status)
		return w
	}
	var r struct {
		Ledger uint64 `json:"ledger"`
		News   []struct {
			Put    string          `json:"put"`
			Value  json.RawMessage `json:"data"`
			Remove string          `json:"remove"`
			Stamp  uint64          `json:"stamp"`
		} `json:"news"`
	}
	if err := json.Unmarshal(m.Body, &r); err != nil {
		w.Err = fmt.Errorf("watch: %w", err)
		return w
	}
	w.Revision = r.Ledger
	for _, n := range r.News {
		ch := core.Change{Key: n.Put, Value: n.Value, Revision: n.Stamp}
		if n.Put == "" {
			ch = core.Change{Key: n.Remove, Revision: n.Stamp, Removed: true}
		}
		w.Changes = append(w.Changes, ch)
	}
	return w
}
