package main

import (
	"fmt"
	"time"
)

func init() { cases["twice"] = playTwice }

// playTwice runs arrays that take all machines. With the trouble, urgent work comes several
// times as often: tasks of the arrays are stopped for it, and it is cancelled again.
func playTwice(w *world, trouble bool) error {
	if err := w.addMachines(12, manifold, "coventry"); err != nil {
		return err
	}
	if err := w.begin(); err != nil {
		return err
	}
	time.Sleep(4 * time.Second)
	for round := range 9 {
		array := job(fmt.Sprintf("req-%06d", 1+round), "meter-sweep", "flue", 364)
		array.run = runsFor(2 * time.Second)
		go w.submit(array, round)
		for i := range 16 {
			time.Sleep(600 * time.Millisecond)
			if trouble {
				go w.urgentThenCancelled(100+16*round+i, i)
			}
			if len(w.record.violations()) > 0 {
				return nil
			}
		}
	}
	return nil
}

// urgentThenCancelled submits an urgent job of one task that takes a machine, and cancels it
// shortly after it is accepted.
func (w *world) urgentThenCancelled(number, first int) {
	urgent := job(fmt.Sprintf("req-%06d", number), "storm-setback", "radiator", 1)
	urgent.body["shape"], urgent.body["urgency"] = "gang", "urgent"
	urgent.body["vcpus"], urgent.body["expect_s"] = 16.0, 35.0
	urgent.run = runsFor(35 * time.Second)
	if !w.submit(urgent, first) {
		return
	}
	time.Sleep(300 * time.Millisecond)
	w.cancel(urgent.ID, first)
}
