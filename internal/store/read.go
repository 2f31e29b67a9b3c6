package store

import (
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"net/url"
	"strconv"
	"time"

	"github.com/zinclb/zinclb/internal/core"
)

const (
	listTimeout = 5 * time.Second
	getTimeout  = 1500 * time.Millisecond
	// watchGrace is the time that is added to the requested wait of a watch to get the
	// timeout of the call.
	watchGrace = 1500 * time.Millisecond
	// listPageSize is the maximum number of keys in a page of a list.
	listPageSize = 500
)

// errNoRevision is returned if a key that was read has no revision.
var errNoRevision = errors.New("field stamp is missing or 0")

// rowWire is a stored key with its value on the wire.
type rowWire struct {
	Key      string          `json:"path"`
	Value    json.RawMessage `json:"data"`
	Revision uint64          `json:"stamp"`
}

// pageWire is a page of a list on the wire.
type pageWire struct {
	Rows     []rowWire `json:"rows"`
	More     bool      `json:"truncated"`
	Revision uint64    `json:"ledger"`
}

// List reads all keys with a prefix page by page and calls pace before each page. It
// returns the revision of the first page, so that a watch from that revision misses no
// change.
func (c *Client) List(prefix string, pace func()) (rows []core.Change, revision uint64, err error) {
	after := ""
	for first := true; ; first = false {
		pace()
		page, err := c.listPage(prefix, after)
		if err != nil {
			return nil, 0, err
		}
		if first {
			revision = page.Revision
		}
		for _, row := range page.Rows {
			rows = append(rows, core.Change{Key: row.Key, Value: row.Value, Revision: row.Revision})
			after = row.Key
		}
		if !page.More || len(page.Rows) == 0 {
			return rows, revision, nil
		}
	}
}

// listPage reads the page of keys with a prefix that follows the key after; "" reads the
// first page.
func (c *Client) listPage(prefix, after string) (pageWire, error) {
	target := "/kv?starts=" + url.QueryEscape(prefix) + "&most=" + strconv.Itoa(listPageSize)
	if after != "" {
		target += "&after=" + url.QueryEscape(after)
	}
	body, err := c.call(http.MethodGet, target, nil, listTimeout)
	if err != nil {
		return pageWire{}, err
	}
	var page pageWire
	if err := json.Unmarshal(body, &page); err != nil {
		return pageWire{}, fmt.Errorf("list: %w", err)
	}
	return page, nil
}

// Get reads a key. In the result, revision 0 without an error means that the key does
// not exist.
func (c *Client) Get(key string) core.KeyRead {
	body, err := c.call(http.MethodGet, "/kv/"+key, nil, getTimeout)
	read := core.KeyRead{Key: key}
	switch {
	case errors.Is(err, StatusError(http.StatusNotFound)):
		read.AbsentAt = absentAt(body)
		return read
	case err != nil:
		read.Err = err
		return read
	}
	var row rowWire
	if err := json.Unmarshal(body, &row); err != nil {
		read.Err = fmt.Errorf("get: %w", err)
		return read
	}
	if row.Revision == 0 {
		read.Err = fmt.Errorf("get: %w", errNoRevision)
		return read
	}
	read.Value, read.Revision = row.Value, row.Revision
	return read
}

// absentAt returns the revision at which a key is absent, from the body of a 404
// response. It returns 0 if the body can't be decoded; the key is absent in that case
// too.
func absentAt(body []byte) uint64 {
	var answer struct {
		Revision uint64 `json:"ledger"`
	}
	if json.Unmarshal(body, &answer) != nil {
		return 0
	}
	return answer.Revision
}

// changesWire is the response to a watch on the wire.
type changesWire struct {
	Revision uint64       `json:"ledger"`
	Changes  []changeWire `json:"news"`
}

// changeWire is a change of a key on the wire: Put is set if the key was written, Delete
// if it was deleted.
type changeWire struct {
	Put      string          `json:"put"`
	Value    json.RawMessage `json:"data"`
	Delete   string          `json:"remove"`
	Revision uint64          `json:"stamp"`
}

// toCore converts the change to the core's representation.
func (w changeWire) toCore() core.Change {
	if w.Put == "" {
		return core.Change{Key: w.Delete, Revision: w.Revision, Removed: true}
	}
	return core.Change{Key: w.Put, Value: w.Value, Revision: w.Revision}
}

// Watch reads the changes of keys with a prefix after a revision. If there is none yet,
// the service waits for one, at most for the time wait. In the result, Compacted means
// that the service no longer has all these changes.
func (c *Client) Watch(prefix string, after uint64, wait time.Duration) core.StateRead {
	read := core.StateRead{AfterRevision: after}
	target := "/watch?starts=" + url.QueryEscape(prefix) +
		"&after=" + strconv.FormatUint(after, 10) +
		"&wait_ms=" + strconv.FormatInt(wait.Milliseconds(), 10)
	body, err := c.call(http.MethodGet, target, nil, wait+watchGrace)
	switch {
	case errors.Is(err, StatusError(http.StatusGone)):
		read.Compacted = true
		return read
	case err != nil:
		read.Err = err
		return read
	}
	var answer changesWire
	if err := json.Unmarshal(body, &answer); err != nil {
		read.Err = fmt.Errorf("watch: %w", err)
		return read
	}
	read.Revision = answer.Revision
	for _, change := range answer.Changes {
		read.Changes = append(read.Changes, change.toCore())
	}
	return read
}
