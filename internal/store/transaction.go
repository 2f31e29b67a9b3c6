package store

import (
	"encoding/json"
	"net/http"
	"time"

	"github.com/zinclb/zinclb/internal/core"
	"github.com/zinclb/zinclb/internal/core/kv"
)

// transactionWire is a transaction on the wire. The writes are executed if all
// conditions hold.
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

// outcomeWire is the response to a transaction on the wire.
type outcomeWire struct {
	Revision uint64   `json:"ledger"`
	Failed   []string `json:"failed"`
}

// newTransaction converts a transaction to its wire form. A write without a value
// becomes a deletion.
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

// noAnswer is the status that stands for a missing response.
const noAnswer = 0

// Outcome returns the outcome of a transaction that the state service has answered with
// an HTTP status; 0 means that there was no response.
func Outcome(status int) kv.Outcome {
	switch status {
	case noAnswer:
		return kv.Unknown
	case http.StatusOK:
		return kv.Committed
	case http.StatusConflict:
		return kv.Conflict
	case http.StatusBadRequest:
		return kv.Malformed
	case http.StatusTooManyRequests:
		return kv.RateLimited
	case http.StatusServiceUnavailable:
		return kv.Unavailable
	}
	return kv.Rejected
}

// Transact executes a transaction. Its outcome is kv.Unknown if there is no response or
// if the response can't be decoded.
func (c *Client) Transact(t core.CommitTransaction, timeout time.Duration) core.TransactionResult {
	body, err := json.Marshal(newTransaction(t))
	if err != nil {
		return core.TransactionResult{ID: t.ID, Outcome: kv.Malformed}
	}
	m, err := c.http.Do(http.MethodPost, "/multi", body, timeout)
	if err != nil {
		return core.TransactionResult{ID: t.ID, Outcome: kv.Unknown}
	}
	outcome := Outcome(m.Status)
	var answer outcomeWire
	if outcome == kv.Committed || outcome == kv.Conflict {
		if err := json.Unmarshal(m.Body, &answer); err != nil {
			return core.TransactionResult{ID: t.ID, Outcome: kv.Unknown}
		}
	}
	return core.TransactionResult{
		ID:       t.ID,
		Outcome:  outcome,
		Revision: answer.Revision,
		Failed:   answer.Failed,
	}
}
