package main

import (
	"fmt"
	"net/http"
	"time"
)

func init() { cases["order"] = playOrder }

// playOrder submits jobs, twenty together, and polls each accepted one at all controllers. The
// news of a watch come newest first, as in the example of PROTOCOL. With the trouble, the state
// service answers slowly for four seconds out of six.
func playOrder(w *world, trouble bool) error {
	w.use(fishSettings())
	w.state.newestFirst = true
	if err := w.addMachines(30, tambak, "ipoh"); err != nil {
		return err
	}
	if err := w.begin(); err != nil {
		return err
	}
	for i := range 4 { // a few jobs first, so that the watches from the start have ended
		time.Sleep(3 * time.Second)
		go w.followJob(oneTask(1+i), i)
	}
	time.Sleep(2 * time.Second)
	for i := range 40 {
		w.state.setSlow(trouble && i%3 != 0)
		for k := range 20 {
			go w.followJob(oneTask(100+20*i+k), i+k)
		}
		time.Sleep(2 * time.Second)
		if len(w.record.violations()) > 0 {
			return nil
		}
	}
	return nil
}

// followJob submits a job and polls it at all controllers until it is done.
func (w *world) followJob(j *jobSpec, first int) {
	if !w.submit(j, first) {
		return
	}
	for until := time.Now().Add(30 * time.Second); time.Now().Before(until) && !w.ended(); time.Sleep(2 * time.Second) {
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

// oneTask returns a job of one task.
func oneTask(number int) *jobSpec {
	j := job(fmt.Sprintf("req-%06d", number), "imbas-kolam", "kolam", 1)
	j.run = runsFor(8 * time.Second)
	return j
}
