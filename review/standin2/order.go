package main

import (
	"fmt"
	"net/http"
	"sync"
	"time"
)

func init() { cases["order"] = playOrder }

// playOrder submits bursts of jobs, and polls each accepted one at all controllers. With the
// trouble, the news of a watch are ordered by key, as in the example of PROTOCOL.
func playOrder(w *world, trouble bool) error {
	w.state.newsByKey = trouble
	if err := w.addMachines(6, manifold, "coventry", false); err != nil {
		return err
	}
	if err := w.begin(); err != nil {
		return err
	}
	time.Sleep(8 * time.Second) // the leader has been elected, and the others read from it
	for burst := range 5 {
		var users sync.WaitGroup
		for i := range 6 {
			j := job(fmt.Sprintf("req-%06d", 100*burst+i), "meter-sweep", "flue", 2)
			j.run = runsFor(2 * time.Second)
			users.Go(func() { w.followJob(j, i) })
		}
		users.Wait()
	}
	return nil
}

// followJob submits a job and polls it until it is done, for 12 seconds at most.
func (w *world) followJob(j *jobSpec, first int) {
	if !w.submit(j, first) {
		return
	}
	for until := time.Now().Add(12 * time.Second); time.Now().Before(until); time.Sleep(time.Second) {
		finished := 0
		for _, c := range w.controllers {
			r := w.poll(j.ID, c)
			if r.status == http.StatusNotFound {
				w.record.violation(fmt.Sprintf("forgotten: %s was accepted, and %s answers 404", j.ID, c.label))
				return
			}
			if r.state == "done" {
				finished++
			}
		}
		if finished == len(w.controllers) {
			return
		}
	}
}
