package main

import (
	"fmt"
	"net/http"
	"sync"
	"time"
)

// machineType is a machine type of the cloud.
type machineType struct {
	Label       string   `json:"label"`
	CPUs        float64  `json:"vcpus"`
	GPUs        float64  `json:"gpus"`
	MemGB       float64  `json:"mem_gb"`
	LocalGB     float64  `json:"local_gb"`
	FetchRate   float64  `json:"fetch_gb_per_s"`
	Price       float64  `json:"price"`
	MarketPrice float64  `json:"market_price"`
	BootS       float64  `json:"boot_s"`
	Zones       []string `json:"paddocks"`
}

// cloudService is a stand-in for the cloud. Its machines are up from the start, and it has
// none to rent.
type cloudService struct {
	mu       sync.Mutex
	types    []machineType
	machines []*worker
	started  time.Time
	calls    bucket
	rps      float64
	record   *recorder
}

func (c *cloudService) handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /machine_types", func(w http.ResponseWriter, _ *http.Request) {
		answer(w, http.StatusOK, object{"breeds": c.types})
	})
	mux.HandleFunc("GET /rentals", c.list)
	mux.HandleFunc("POST /rentals", func(w http.ResponseWriter, _ *http.Request) {
		answer(w, http.StatusServiceUnavailable, object{"error": "no capacity"})
	})
	mux.HandleFunc("POST /rentals/release", c.release)
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		c.mu.Lock()
		within := c.calls.take(1, c.rps)
		c.mu.Unlock()
		time.Sleep(50 * time.Millisecond)
		if !within {
			answer(w, http.StatusTooManyRequests, object{"error": "rate"})
			return
		}
		mux.ServeHTTP(w, r)
	})
}

func (c *cloudService) list(w http.ResponseWriter, r *http.Request) {
	c.mu.Lock()
	defer c.mu.Unlock()
	rows := []object{}
	for _, m := range c.machines {
		if m.name > r.URL.Query().Get("after") && !m.isGone() {
			rows = append(rows, object{
				"name_id": m.name, "endpoint": m.addr, "breed": m.kind.Label, "paddock": m.zone,
				"borrowed": false, "status": "running", "held_s": 300 + time.Since(c.started).Seconds(),
			})
		}
	}
	answer(w, http.StatusOK, object{"stokers": rows, "truncated": false})
}

func (c *cloudService) release(w http.ResponseWriter, r *http.Request) {
	var request struct {
		Names []string `json:"stokers"`
	}
	decode(readBody(r), &request)
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, m := range c.machines {
		for _, name := range request.Names {
			if m.name == name {
				c.record.add(fmt.Sprintf("cloud: %s is released", name))
				m.remove()
			}
		}
	}
	answer(w, http.StatusOK, object{})
}
