package store

import (
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"strconv"
	"time"
)

// leaseTimeout is the timeout of a call that grants, renews or revokes a lease.
const leaseTimeout = time.Second

// errNoLease is returned if a response has no lease ID.
var errNoLease = errors.New("field tenure is missing or 0")

// leaseWire is a granted lease on the wire.
type leaseWire struct {
	Lease uint64 `json:"tenure"`
}

// GrantLease requests a lease that expires unless it is renewed within ttl.
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
		return 0, fmt.Errorf("grant lease: invalid response: %w", err)
	}
	return granted.Lease, nil
}

// RenewLease renews a lease. It reports expired if the lease does not exist any more.
func (c *Client) RenewLease(lease uint64) (expired bool, err error) {
	_, err = c.call(http.MethodPost, leaseTarget(lease)+"/touch", []byte("{}"), leaseTimeout)
	if errors.Is(err, StatusError(http.StatusNotFound)) {
		return true, nil
	}
	return false, err
}

// RevokeLease ends a lease. The status of the response does not matter, because the
// lease is no longer used and will expire; only a call without a response is an error.
func (c *Client) RevokeLease(lease uint64) error {
	_, err := c.http.Do(http.MethodDelete, leaseTarget(lease), nil, leaseTimeout)
	return err
}

func leaseTarget(lease uint64) string { return "/leases/" + strconv.FormatUint(lease, 10) }
