// Package store is the client of the state service, a key-value store with revisions,
// transactions, leases and watches. It is the only package that knows the names used by
// the service's API.
//
// A StatusError means that the service has refused the call. After any other error it is
// unknown whether the call was executed.
package store

import (
	"net/http"
	"strconv"
	"time"

	"github.com/zinclb/zinclb/internal/core"
	"github.com/zinclb/zinclb/internal/httpwire"
)

var _ core.Refusal = StatusError(0)

// maxBody is the maximum size of a response body, in bytes. It is large because a watch
// returns all changes in one response.
const maxBody = 16 << 20

// Client makes calls to the state service.
type Client struct {
	http *httpwire.Client
}

// New returns a client for the state service at addr with at most conns connections.
func New(addr string, conns int) *Client {
	return &Client{http: httpwire.NewClient(addr, conns, maxBody)}
}

// Close closes all connections. Calls in progress and later ones fail.
func (c *Client) Close() { c.http.Close() }

// StatusError is a response status that the call does not expect.
type StatusError int

// Refused reports true: the service has answered, so it can be reached.
func (e StatusError) Refused() bool { return true }

func (e StatusError) Error() string { return "state service answered " + strconv.Itoa(int(e)) }

// call makes a call and returns the response body. For any status but 200 it returns a
// StatusError along with the body.
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
