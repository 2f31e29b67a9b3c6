package main

import (
	"fmt"
	"net/http"
	"os"
	"strconv"
	"strings"
	"time"
)

func init() { cases["memory"] = playMemory }

// sweepFile is a sweep of one run whose number of tasks is given by an expression.
const sweepFile = `id: "pest-rainfall"
job { herd: "demo" steward: "flue" shape: "sweep" urgency: "normal" vcpus: 1 mem_gb: 1 seedstock: "demo"
  pull_gb: 0.1 expect_s: 5 }
set { field: "hands" is: %q }
parameter { name: "rain" value { int: 1 } }
`

// Expressions for the number of tasks: one that a user may write, and one that makes a text of
// a list.
const (
	plainExpression = `1 + len(str(["rain"] * 20))`
	largeExpression = `len(str(["r" * 20000] * 20000))`
)

// playMemory runs an array, and sends a sweep to one controller after the other. The platform
// ends a controller that is above its memory, and starts it again.
func playMemory(w *world, trouble bool) error {
	if err := w.addMachines(2, manifold, "coventry"); err != nil {
		return err
	}
	if err := w.begin(); err != nil {
		return err
	}
	for _, c := range w.controllers {
		go w.watchMemory(c)
	}
	time.Sleep(5 * time.Second)
	array := job("req-000001", "meter-sweep", "flue", 16)
	array.run = runsFor(20 * time.Second)
	if !w.submit(array, 0) {
		return fmt.Errorf("the array was not accepted")
	}
	expression := plainExpression
	if trouble {
		expression = largeExpression
	}
	for i := range 3 {
		c := w.controllers[i]
		r := w.askText(c, http.MethodPost, "/sweeps", fmt.Appendf(nil, sweepFile, expression), 5*time.Second)
		w.record.add(fmt.Sprintf("user: sends a sweep of %d bytes to %s: %d %s", len(fmt.Sprintf(sweepFile, expression)), c.label, r.status, r.text))
		time.Sleep(time.Second)
		w.poll(array.ID, c)
	}
	time.Sleep(15 * time.Second)
	for _, c := range w.controllers {
		w.poll(array.ID, c)
	}
	return nil
}

// watchMemory ends a controller whose memory exceeds the limit of the settings, as the platform
// does, and starts it again after the time that this takes.
func (w *world) watchMemory(c *controller) {
	most := 0.0
	for ; !w.ended(); time.Sleep(20 * time.Millisecond) {
		if c.hasEnded() {
			w.record.violation(fmt.Sprintf("%s ended by itself", c.label))
			return
		}
		held := heldMB(c.process.Process.Pid)
		if held > most+10 {
			most = held
			w.record.add(fmt.Sprintf("%s: holds %.0f MB", c.label, held))
		}
		if held <= w.settings.Resources.MemMB {
			continue
		}
		w.record.violation(fmt.Sprintf("%s ends for memory: it holds %.0f MB of %.0f", c.label, held, w.settings.Resources.MemMB))
		w.kill(c)
		time.Sleep(6 * time.Second)
		if w.ended() || w.start(c) != nil {
			return
		}
	}
}

// heldMB returns the memory that a process holds, in MB.
func heldMB(pid int) float64 {
	text, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	if err != nil {
		return 0
	}
	for line := range strings.SplitSeq(string(text), "\n") {
		if value, ok := strings.CutPrefix(line, "VmRSS:"); ok {
			kb, _ := strconv.ParseFloat(strings.Fields(value)[0], 64)
			return kb * 1024 / 1e6
		}
	}
	return 0
}
