package main

import (
	"fmt"
	"net/http"
	"time"
)

func init() { cases["lines"] = playLines }

// playLines runs a job of another team, a task on each machine, and then submits an array of
// small tasks. With the trouble it has 6,000 of them, otherwise 300.
func playLines(w *world, trouble bool) error {
	if err := w.addMachines(2, manifold, "coventry"); err != nil {
		return err
	}
	if err := w.begin(); err != nil {
		return err
	}
	time.Sleep(4 * time.Second)
	other := job("req-000001", "scan-thermo", "flue", 2)
	other.body["vcpus"], other.body["mem_gb"] = 12.0, 24.0
	other.run = runsFor(30 * time.Second)
	small := job("req-000002", "meter-sweep", "radiator", 300)
	if trouble {
		small = job("req-000002", "meter-sweep", "radiator", 6000)
	}
	small.body["vcpus"], small.body["mem_gb"] = 0.001, 0.002
	small.run = runsFor(20 * time.Second)
	if !w.submit(other, 0) {
		return fmt.Errorf("a job was not accepted")
	}
	time.Sleep(4 * time.Second)
	if !w.submit(small, 1) {
		return fmt.Errorf("a job was not accepted")
	}
	for until := time.Now().Add(70 * time.Second); time.Now().Before(until); time.Sleep(5 * time.Second) {
		finished := 0
		for i, id := range []string{other.ID, small.ID} {
			r := w.poll(id, w.controllers[i])
			if r.status == http.StatusOK && r.state == "done" {
				finished++
			}
		}
		if finished == 2 {
			return nil
		}
	}
	w.record.add("the jobs are not done after 70 s")
	return nil
}
