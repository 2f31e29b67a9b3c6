// Package cloud is the client of the cloud API. It is the only package that knows the
// names used by that API.
//
// A StatusError means that the cloud has refused the call. After any other error it is
// unknown whether the call was executed.
package cloud

import (
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"net/url"
	"strconv"
	"time"

	"github.com/zinclb/zinclb/internal/core"
	"github.com/zinclb/zinclb/internal/core/fleet"
	"github.com/zinclb/zinclb/internal/core/jobstate"
	"github.com/zinclb/zinclb/internal/httpwire"
)

const (
	// callTimeout is the timeout of a call, such as reading one page of a list.
	callTimeout = 4 * time.Second
	// maxConns is the maximum number of connections to the cloud.
	maxConns = 6
	// maxBody is the maximum size of a response body, in bytes.
	maxBody = 4 << 20
)

const (
	machineTypesPath = "/machine_types"
	rentalsPath      = "/rentals"
)

// statusUnknown is the status returned for a call whose outcome is unknown.
const statusUnknown = 0

// Factors that convert the cloud's units to those of the core.
const (
	milli           = 1000
	mbPerGB         = 1000
	microsPerSecond = 1e6
)

var _ core.Refusal = StatusError{}

// StatusError is a response with a status other than 200.
type StatusError struct {
	Status int
	Body   string
}

func (e StatusError) Error() string {
	return fmt.Sprintf("cloud answered %d: %.100s", e.Status, e.Body)
}

// Refused reports true: the cloud has answered, so it can be reached.
func (e StatusError) Refused() bool { return true }

// Client makes calls to the cloud.
type Client struct{ http *httpwire.Client }

// New returns a client for the cloud at addr.
func New(addr string) *Client {
	return &Client{http: httpwire.NewClient(addr, maxConns, maxBody)}
}

// Close closes all connections. Calls in progress and later ones fail.
func (c *Client) Close() { c.http.Close() }

// call makes a call and decodes the response body into answer, unless answer is nil.
// For any status but 200 it returns a StatusError.
func (c *Client) call(method, target string, body []byte, answer any) error {
	m, err := c.http.Do(method, target, body, callTimeout)
	if err != nil {
		return err
	}
	if m.Status != http.StatusOK {
		return StatusError{Status: m.Status, Body: string(m.Body)}
	}
	if answer == nil {
		return nil
	}
	if err := json.Unmarshal(m.Body, answer); err != nil {
		return fmt.Errorf("cloud: %w", err)
	}
	return nil
}

// post sends a request that changes something. The returned status is statusUnknown if
// the outcome is unknown.
func (c *Client) post(target string, request, answer any) (status int) {
	body, err := json.Marshal(request)
	if err != nil {
		return statusUnknown
	}
	err = c.call(http.MethodPost, target, body, answer)
	var refused StatusError
	switch {
	case err == nil:
		return http.StatusOK
	case errors.As(err, &refused):
		return refused.Status
	default:
		return statusUnknown
	}
}

// MachineType is a machine type on the wire.
type MachineType struct {
	Name      string   `json:"label"`
	CPUs      float64  `json:"vcpus"`
	GPUs      float64  `json:"gpus"`
	MemGB     float64  `json:"mem_gb"`
	CacheGB   float64  `json:"local_gb"`
	FetchRate float64  `json:"fetch_gb_per_s"`
	Price     float64  `json:"price"`
	SpotPrice float64  `json:"market_price"`
	BootS     float64  `json:"boot_s"`
	Zones     []string `json:"paddocks"`
}

// ToCore converts the machine type to the core's representation.
func (t MachineType) ToCore() fleet.Type {
	return fleet.Type{
		Name: t.Name,
		Cap: jobstate.Resources{
			CPU: int64(t.CPUs * milli),
			GPU: int64(t.GPUs * milli),
			Mem: int64(t.MemGB * mbPerGB),
		},
		FetchRate: int64(t.FetchRate * mbPerGB),
		CacheMB:   int64(t.CacheGB * mbPerGB),
		Price:     t.Price,
		SpotPrice: t.SpotPrice,
		Boot:      int64(t.BootS * microsPerSecond),
		Zones:     t.Zones,
	}
}

// MachineListing is an entry of the cloud's list of machines on the wire.
type MachineListing struct {
	Name   string  `json:"name_id"`
	Addr   string  `json:"endpoint"`
	Type   string  `json:"breed"`
	Zone   string  `json:"paddock"`
	Spot   bool    `json:"borrowed"`
	Status string  `json:"status"`
	AgeS   float64 `json:"held_s"`
}

// ToCore converts the list entry to the core's representation.
func (l MachineListing) ToCore() core.CloudMachine {
	return core.CloudMachine{
		Name:   l.Name,
		Addr:   l.Addr,
		Type:   l.Type,
		Zone:   l.Zone,
		Spot:   l.Spot,
		Status: l.Status,
		Age:    int64(l.AgeS * microsPerSecond),
	}
}

// ListTypes reads the machine types.
func (c *Client) ListTypes() core.MachineTypesListed {
	var answer struct {
		Types []MachineType `json:"breeds"`
	}
	if err := c.call(http.MethodGet, machineTypesPath, nil, &answer); err != nil {
		return core.MachineTypesListed{Err: err}
	}
	var listed core.MachineTypesListed
	for _, t := range answer.Types {
		listed.Types = append(listed.Types, t.ToCore())
	}
	return listed
}

// pageWire is a page of the list of machines on the wire.
type pageWire struct {
	Machines []MachineListing `json:"stokers"`
	More     bool             `json:"truncated"`
}

// ListMachines reads the list of all machines, pausing for gap between pages.
func (c *Client) ListMachines(gap time.Duration) core.MachinesListed {
	var listed core.MachinesListed
	after := ""
	for {
		page, err := c.listPage(after)
		if err != nil {
			return core.MachinesListed{Err: err}
		}
		for _, m := range page.Machines {
			listed.List = append(listed.List, m.ToCore())
			after = m.Name
		}
		if !page.More || len(page.Machines) == 0 {
			return listed
		}
		time.Sleep(gap)
	}
}

// listPage reads the page of machines that follows the named machine; "" reads the
// first page.
func (c *Client) listPage(after string) (pageWire, error) {
	var page pageWire
	target := rentalsPath + "?after=" + url.QueryEscape(after) + "&most=" + strconv.Itoa(core.ListPage)
	err := c.call(http.MethodGet, target, nil, &page)
	return page, err
}

// rentalWire is a request for machines on the wire. It is idempotent: a repeated request
// with the same name is the same request.
type rentalWire struct {
	Name  string `json:"hire"`
	Type  string `json:"breed"`
	Zone  string `json:"paddock"`
	Spot  bool   `json:"borrowed"`
	Count int    `json:"number"`
}

// machinesWire is a list of machine names on the wire.
type machinesWire struct {
	Machines []string `json:"stokers"`
}

// ScaleOut requests new machines.
func (c *Client) ScaleOut(request core.ScaleOut) core.ScaledOut {
	rental := rentalWire{
		Name:  request.Name,
		Type:  request.Type,
		Zone:  request.Zone,
		Spot:  request.Spot,
		Count: request.Count,
	}
	var rented machinesWire
	status := c.post(rentalsPath, rental, &rented)
	return core.ScaledOut{Request: request, Names: rented.Machines, Status: status}
}

// ScaleIn returns the named machines to the cloud.
func (c *Client) ScaleIn(names []string) core.ScaledIn {
	status := c.post(rentalsPath+"/release", machinesWire{Machines: names}, nil)
	return core.ScaledIn{Names: names, OK: status == http.StatusOK}
}
