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
	"github.com/zinclb/zinclb/internal/core/ledger"
	"github.com/zinclb/zinclb/internal/httpwire"
)

const timeout = 4 * time.Second

// Client calls the cloud.
type Client struct{ http *httpwire.Client }

// New makes a client.
func New(addr string) *Client { return &Client{httpwire.NewClient(addr, 6, 4<<20)} }

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
		return m.Status, fmt.Errorf("cloud answered %d: %.100s", m.Status, m.Body)
	}
	if out != nil {
		if err := json.Unmarshal(m.Body, out); err != nil {
			return 0, fmt.Errorf("cloud: %w", err)
		}
	}
	return 200, nil
}

// Types reads the machine types.
func (c *Client) Types() core.Types {
	var r struct {
		Types []struct {
			Name      string   `json:"label"`
			CPUs      float64  `json:"vcpus"`
			GPUs      float64  `json:"gpus"`
			Mem       float64  `json:"mem_gb"`
			FetchRate float64  `json:"fetch_gb_per_s"`
			Cache     float64  `json:"local_gb"`
			Price     float64  `json:"price"`
			SpotPrice float64  `json:"market_price"`
			Boot      float64  `json:"boot_s"`
			Zones     []string `json:"paddocks"`
		} `json:"breeds"`
	}
	if _, err := c.do("GET", "/machine_types", nil, &r); err != nil {
		return core.Types{Err: err}
	}
	var t core.Types
	for _, w := range r.Types {
		t.Types = append(t.Types, fleet.Type{Name: w.Name, Cap: ledger.Vec{CPU: int64(w.CPUs * 1000), GPU: int64(w.GPUs * 1000), Mem: int64(w.Mem * 1000)},
			FetchRate: int64(w.FetchRate * 1000), CacheMB: int64(w.Cache * 1000), Price: w.Price, SpotPrice: w.SpotPrice, Boot: int64(w.Boot * 1e6), Zones: w.Zones})
	}
	return t
}

// List reads all machines, page by page with a gap between them.
func (c *Client) List(gap time.Duration) core.Machines {
	var out core.Machines
	after := ""
	for {
		var r struct {
			Machines []struct {
				Name   string  `json:"name_id"`
				Addr   string  `json:"endpoint"`
				Type   string  `json:"breed"`
				Zone   string  `json:"paddock"`
				Spot   bool    `json:"borrowed"`
				Status string  `json:"status"`
				Age    float64 `json:"held_s"`
			} `json:"stokers"`
			More bool `json:"truncated"`
		}
		if _, err := c.do("GET", "/rentals?after="+url.QueryEscape(after)+"&most="+strconv.Itoa(core.ListPage), nil, &r); err != nil {
			return core.Machines{Err: err}
		}
		for _, m := range r.Machines {
			out.List = append(out.List, core.Listing{Name: m.Name, Addr: m.Addr, Type: m.Type, Zone: m.Zone, Spot: m.Spot, Status: m.Status, Age: int64(m.Age * 1e6)})
			after = m.Name
		}
		if !r.More || len(r.Machines) == 0 {
			return out
		}
		time.Sleep(gap)
	}
}

// Rent asks for machines.
func (c *Client) Rent(q core.Rent) core.Rented {
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
	return core.Rented{Rent: q, Names: r.Machines, Status: status}
}

// Release returns machines.
func (c *Client) Release(names []string) core.Released {
	status, _ := c.do("POST", "/rentals/release", struct {
		Machines []string `json:"stokers"`
	}{names}, nil)
	return core.Released{Names: names, OK: status == 200}
}
