package store

import (
	"encoding/json"
	"net/http"
	"time"

	"github.com/zinclb/zinclb/internal/core"
)

// statusUnknown is the status of a transaction whose outcome is unknown.
const statusUnknown = 0

// transactionWire is a transaction: the writes are executed if every condition holds.
type transactionWire struct {
	Conditions []conditionWire `json:"when"`
	Writes     []writeWire     `json:"writes"`
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

// outcomeWire is the answer to a transaction.
type outcomeWire struct {
	Revision uint64   `json:"ledger"`
	Failed   []string `json:"failed"`
}

// newTransaction is a transaction on the wire. A write without a value deletes.
func newTransaction(t core.CommitTransaction) transactionWire {
	var w transactionWire
	for _, condition := range t.Conditions {
		w.Conditions = append(w.Conditions, conditionWire(condition))
	}
	for _, write := range t.Writes {
		if write.Value == nil {
			w.Writes = append(w.Writes, writeWire{Delete: write.Key})
			continue
		}
		w.Writes = append(w.Writes, writeWire{Put: write.Key, Value: write.Value, Lease: write.Lease})
	}
	return w
}

// Transact executes a transaction. Status 0 means that its outcome is unknown.
func (c *Client) Transact(t core.CommitTransaction, timeout time.Duration) core.Committed {
	body, err := json.Marshal(newTransaction(t))
	if err != nil {
		return core.Committed{ID: t.ID, Status: http.StatusBadRequest}
	}
	m, err := c.http.Do(http.MethodPost, "/multi", body, timeout)
	if err != nil {
		return core.Committed{ID: t.ID, Status: statusUnknown}
	}
	var outcome outcomeWire
	if m.Status == http.StatusOK || m.Status == http.StatusConflict {
		if err := json.Unmarshal(m.Body, &outcome); err != nil {
			return core.Committed{ID: t.ID, Status: statusUnknown}
		}
	}
	return core.Committed{
		ID:       t.ID,
		Status:   m.Status,
		Revision: outcome.Revision,
		Failed:   outcome.Failed,
	}
}
