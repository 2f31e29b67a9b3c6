// Package cloud is the client of the cloud's interface.
package cloud

import (
	"encoding/json"
	"fmt"
	"net/url"
	"strconv"
	"time"

	"github.com/zinclb/zinclb/internal/core"
	"github.com/zinclb/zinclb/internal/core/fleet"
	"github.com/zinclb/zinclb/internal/core/jobstate"
	"github.com/zinclb/zinclb/internal/httpwire"
)

const timeout = 4 * time.Second

// statusError is an answer other than 200.
type statusError struct {
	status int
	body   string
}

func (e statusError) Error() string {
	return fmt.Sprintf("cloud answered %d: %.100s", e.status, e.body)
}

// Refused says that the cloud has answered, so that it can be reached.
func (e statusError) Refused() bool { return true }

// Client calls the cloud.
type Client struct{ http *httpwire.Client }

// New makes a client.
func New(addr string) *Client { return &Client{httpwire.NewClient(addr, 6, 4<<20)} }

// Close closes all connections. Calls under way and later ones fail.
func (c *Client) Close() { c.http.Close() }

func (c *Client) do(method, target string, in, out any) (int, error) {
	var body []byte
	if in != nil {
		var err error
		if body, err = json.Marshal(in); err != nil {
			return 0, err
		}
	}
	m, err := c.http.Do(method, target, body, timeout)
	if err != nil {
		return 0, err
	}
	if m.Status != 200 {
		return m.Status, statusError{m.Status, string(m.Body)}
	}
	if out != nil {
		if err := json.Unmarshal(m.Body, out); err != nil {
			return 0, fmt.Errorf("cloud: %w", err)
		}
	}
	return 200, nil
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

// ToCore is the type as the core has it.
func (t MachineType) ToCore() fleet.Type {
	return fleet.Type{
		Name: t.Name, Cap: jobstate.Resources{CPU: int64(t.CPUs * 1000), GPU: int64(t.GPUs * 1000), Mem: int64(t.MemGB * 1000)},
		FetchRate: int64(t.FetchRate * 1000), CacheMB: int64(t.CacheGB * 1000), Price: t.Price, SpotPrice: t.SpotPrice, Boot: int64(t.BootS * 1e6), Zones: t.Zones,
	}
}

// MachineListing is a machine of the cloud's list on the wire.
type MachineListing struct {
	Name   string  `json:"name_id"`
	Addr   string  `json:"endpoint"`
	Type   string  `json:"breed"`
	Zone   string  `json:"paddock"`
	Spot   bool    `json:"borrowed"`
	Status string  `json:"status"`
	AgeS   float64 `json:"held_s"`
}

// ToCore is the listing as the core has it.
func (l MachineListing) ToCore() core.CloudMachine {
	return core.CloudMachine{Name: l.Name, Addr: l.Addr, Type: l.Type, Zone: l.Zone, Spot: l.Spot, Status: l.Status, Age: int64(l.AgeS * 1e6)}
}

// ListTypes reads the machine types.
func (c *Client) ListTypes() core.MachineTypesListed {
	var r struct {
		Types []MachineType `json:"breeds"`
	}
	if _, err := c.do("GET", "/machine_types", nil, &r); err != nil {
		return core.MachineTypesListed{Err: err}
	}
	var t core.MachineTypesListed
	for _, w := range r.Types {
		t.Types = append(t.Types, w.ToCore())
	}
	return t
}

// ListMachines reads all machines, page by page with a gap between them.
func (c *Client) ListMachines(gap time.Duration) core.MachinesListed {
	var out core.MachinesListed
	after := ""
	for {
		var r struct {
			Machines []MachineListing `json:"stokers"`
			More     bool             `json:"truncated"`
		}
		if _, err := c.do("GET", "/rentals?after="+url.QueryEscape(after)+"&most="+strconv.Itoa(core.ListPage), nil, &r); err != nil {
			return core.MachinesListed{Err: err}
		}
		for _, m := range r.Machines {
			out.List = append(out.List, m.ToCore())
			after = m.Name
		}
		if !r.More || len(r.Machines) == 0 {
			return out
		}
		time.Sleep(gap)
	}
}

// ScaleOut asks for machines.
func (c *Client) ScaleOut(q core.ScaleOut) core.ScaledOut {
	var r struct {
		Machines []string `json:"stokers"`
	}
	status, _ := c.do("POST", "/rentals", struct {
		Request string `json:"hire"`
		Type    string `json:"breed"`
		Zone    string `json:"paddock"`
		Spot    bool   `json:"borrowed"`
		Count   int    `json:"number"`
	}{q.Name, q.Type, q.Zone, q.Spot, q.Count}, &r)
	return core.ScaledOut{Request: q, Names: r.Machines, Status: status}
}

// ScaleIn returns machines.
func (c *Client) ScaleIn(names []string) core.ScaledIn {
	status, _ := c.do("POST", "/rentals/release", struct {
		Machines []string `json:"stokers"`
	}{names}, nil)
	return core.ScaledIn{Names: names, OK: status == 200}
}
