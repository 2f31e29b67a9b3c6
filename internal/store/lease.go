package store

import (
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"strconv"
	"time"
)

// leaseTimeout is how long a call about a lease may take.
const leaseTimeout = time.Second

var errNoLease = errors.New("no tenure")

// leaseWire is a lease that was granted.
type leaseWire struct {
	Lease uint64 `json:"tenure"`
}

// GrantLease opens a lease that expires unless it is renewed within ttl.
func (c *Client) GrantLease(ttl time.Duration) (lease uint64, err error) {
	request := []byte(`{"life_ms":` + strconv.FormatInt(ttl.Milliseconds(), 10) + `}`)
	body, err := c.call(http.MethodPost, "/leases", request, leaseTimeout)
	if err != nil {
		return 0, err
	}
	var granted leaseWire
	err = json.Unmarshal(body, &granted)
	if err == nil && granted.Lease == 0 {
		err = errNoLease
	}
	if err != nil {
		return 0, fmt.Errorf("lease: bad answer %w", err)
	}
	return granted.Lease, nil
}

// RenewLease renews a lease; expired says that it has ended.
func (c *Client) RenewLease(lease uint64) (expired bool, err error) {
	_, err = c.call(http.MethodPost, leaseTarget(lease)+"/touch", []byte("{}"), leaseTimeout)
	if errors.Is(err, StatusError(http.StatusNotFound)) {
		return true, nil
	}
	return false, err
}

// RevokeLease ends a lease. Whatever the service answers, the lease is not used any
// more and expires at the latest, so only a call without an answer is an error.
func (c *Client) RevokeLease(lease uint64) error {
	_, err := c.http.Do(http.MethodDelete, leaseTarget(lease), nil, leaseTimeout)
	return err
}

func leaseTarget(lease uint64) string { return "/leases/" + strconv.FormatUint(lease, 10) }
