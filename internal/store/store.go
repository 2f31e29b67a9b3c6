// Package store is the client of the state service: a key-value store with
// revisions, transactions, leases and watches. The service's wire names stand only
// here.
//
// An error that is a StatusError says that the service has refused the call. Any
// other one leaves open whether the call was executed.
package store

import (
	"net/http"
	"strconv"
	"time"

	"github.com/zinclb/zinclb/internal/core"
	"github.com/zinclb/zinclb/internal/httpwire"
)

var _ core.Refusal = StatusError(0)

// maxBody bounds the service's answers, in bytes: watches bring all changes at once.
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

// StatusError is the status of an answer other than those that a call expects.
type StatusError int

// Refused says that the service has answered, so that it can be reached.
func (e StatusError) Refused() bool { return true }

func (e StatusError) Error() string { return "state service answered " + strconv.Itoa(int(e)) }

// call makes a call and returns the body of its answer. Any status but 200 is a
// StatusError, which comes with the body too.
func (c *Client) call(method, target string, body []byte, timeout time.Duration) ([]byte, error) {
	m, err := c.http.Do(method, target, body, timeout)
	if err != nil {
		return nil, err
	}
	if m.Status != http.StatusOK {
		return m.Body, StatusError(m.Status)
	}
	return m.Body, nil
}
