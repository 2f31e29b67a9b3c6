// Package api is the wire of users and workers: it turns requests into
// messages to the core and the core's replies into answers. Wire names stand
// only here, and in store and cloud for those services.
package api

import (
	"encoding/json"
	"fmt"
	"math"
	"slices"
	"strconv"
	"strings"

	"github.com/zinclb/zinclb/internal/core"
	"github.com/zinclb/zinclb/internal/core/jobstate"
)

type submission struct {
	ID           *string   `json:"name_id"`
	Class        *string   `json:"herd"`
	Team         *string   `json:"steward"`
	Kind         *string   `json:"shape"`
	Priority     *string   `json:"urgency"`
	Tasks        *float64  `json:"hands"`
	CPUs         *float64  `json:"vcpus"`
	GPUs         *float64  `json:"gpus"`
	Mem          *float64  `json:"mem_gb"`
	Image        *string   `json:"seedstock"`
	ImageGB      *float64  `json:"pull_gb"`
	Types        *[]string `json:"breeds"`
	Zone         *string   `json:"paddock"`
	OneZone      *bool     `json:"one_zone"`
	Spread       *bool     `json:"scatter"`
	Spot         *bool     `json:"borrowed"`
	Estimate     *float64  `json:"expect_s"`
	Checkpoint   *float64  `json:"bank_s"`
	Save         *float64  `json:"bank_cost_s"`
	Deadline     *float64  `json:"due_s"`
	Dependencies []string  `json:"awaits"`
}

var (
	kinds      = map[string]jobstate.Kind{"sweep": jobstate.Array, "gang": jobstate.Gang, "standing": jobstate.Service}
	priorities = map[string]int{"idle": jobstate.Idle, "normal": jobstate.Normal, "urgent": jobstate.Urgent, "production": jobstate.Production}
)

// MaxIDLength bounds job ids, so that every key made of them fits the store.
const MaxIDLength = 128

// maxDependencies bounds the jobs that one may await; what can be stored may be less.
const maxDependencies = 1000

// ValidID says whether an id can be a job's.
func ValidID(id string) bool {
	if id == "" || len(id) > MaxIDLength {
		return false
	}
	for _, r := range id {
		if r <= ' ' || r > '~' || strings.ContainsRune("/?#%&\"\\", r) {
			return false
		}
	}
	return true
}

// DecodeSubmission reads a submission. If only its id is good, the message
// carries what is wrong with the rest, as the job may be known already.
func DecodeSubmission(body []byte) (core.SubmitJob, error) {
	var w submission
	if err := json.Unmarshal(body, &w); err != nil {
		var head struct {
			ID string `json:"name_id"`
		}
		if json.Unmarshal(body, &head) == nil && ValidID(head.ID) {
			return core.SubmitJob{Spec: &jobstate.Spec{ID: head.ID}, Invalid: err.Error()}, nil
		}
		return core.SubmitJob{}, fmt.Errorf("not a job: %w", err)
	}
	if w.ID == nil || !ValidID(*w.ID) {
		return core.SubmitJob{}, fmt.Errorf("name_id: missing or invalid")
	}
	spec, err := w.spec()
	if err != nil {
		return core.SubmitJob{Spec: &jobstate.Spec{ID: *w.ID}, Invalid: err.Error()}, nil
	}
	return core.SubmitJob{Spec: spec}, nil
}

func (w *submission) spec() (*jobstate.Spec, error) {
	s := &jobstate.Spec{ID: *w.ID}
	var err error
	fail := func(field, why string) {
		if err == nil {
			err = fmt.Errorf("%s: %s", field, why)
		}
	}
	text := func(field string, v *string, to *string, need bool) {
		switch {
		case v == nil || *v == "":
			if need {
				fail(field, "missing")
			}
		case len(*v) > 256:
			fail(field, "too long")
		default:
			*to = *v
		}
	}
	num := func(field string, v *float64, scale, most float64, need bool) int64 {
		if v == nil {
			if need {
				fail(field, "missing")
			}
			return 0
		}
		if math.IsNaN(*v) || *v < 0 || *v > most {
			fail(field, "out of range")
			return 0
		}
		return int64(math.Ceil(*v*scale - 1e-6))
	}
	text("herd", w.Class, &s.Class, true)
	text("steward", w.Team, &s.Team, true)
	text("seedstock", w.Image, &s.Image, true)
	text("paddock", w.Zone, &s.Zone, false)
	if w.Kind == nil || kinds[*w.Kind] == "" {
		fail("shape", "missing or unknown")
	} else {
		s.Kind = kinds[*w.Kind]
	}
	if w.Priority == nil {
		fail("urgency", "missing")
	} else if p, ok := priorities[*w.Priority]; ok {
		s.Priority = p
	} else {
		fail("urgency", "unknown")
	}
	if w.Tasks == nil || *w.Tasks != math.Trunc(*w.Tasks) || *w.Tasks < 1 || *w.Tasks > jobstate.MaxTasks {
		fail("hands", "must be a whole number from 1 to 100000")
	} else {
		s.Tasks = int(*w.Tasks)
	}
	s.Need = jobstate.Resources{CPU: num("vcpus", w.CPUs, 1000, 1e6, true), GPU: num("gpus", w.GPUs, 1000, 1e6, true), Mem: num("mem_gb", w.Mem, 1000, 1e7, true)}
	s.ImageMB = num("pull_gb", w.ImageGB, 1000, 1e6, true)
	s.Estimate = num("expect_s", w.Estimate, 1e6, 1e9, true)
	s.Checkpoint = num("bank_s", w.Checkpoint, 1e6, 1e9, true)
	s.Save = num("bank_cost_s", w.Save, 1e6, 1e9, true)
	s.Deadline = num("due_s", w.Deadline, 1e6, 1e9, false)
	if w.Types != nil {
		for _, t := range *w.Types {
			if t == "" || len(t) > 256 {
				fail("breeds", "invalid name")
			}
		}
		if len(*w.Types) == 0 {
			fail("breeds", "empty")
		}
		s.Types = *w.Types
	}
	if len(w.Dependencies) > maxDependencies {
		fail("awaits", "more than "+strconv.Itoa(maxDependencies))
		w.Dependencies = nil
	}
	for _, id := range w.Dependencies {
		if !ValidID(id) {
			fail("awaits", "invalid id")
		}
		if !slices.Contains(s.Dependencies, id) {
			s.Dependencies = append(s.Dependencies, id)
		}
	}
	flag := func(field string, v *bool) bool {
		if v == nil {
			fail(field, "missing")
		}
		return v != nil && *v
	}
	s.OneZone, s.Spread, s.Spot = flag("one_zone", w.OneZone), flag("scatter", w.Spread), flag("borrowed", w.Spot)
	return s, err
}

type jobResponse struct {
	ID      string `json:"name_id"`
	Status  string `json:"status"`
	Done    int    `json:"done"`
	Running int    `json:"running"`
}

var jobStates = map[string]string{core.Queued: "pending", core.Running: "running", jobstate.Done: "done", jobstate.Cancelled: "withdrawn"}

type heartbeatResponse struct {
	FencingToken uint64      `json:"baton"`
	Orders       []orderWire `json:"orders"`
}

type orderWire struct {
	Op      string   `json:"verb"`
	Task    string   `json:"hand"`
	Attempt uint32   `json:"try"`
	Grace   *float64 `json:"wind_down_s,omitempty"`
}

var orderVerbs = map[core.CommandKind]string{
	core.CommandStart:  "run",
	core.CommandStop:   "kill",
	core.CommandForget: "forget",
}

// OrderVerb is an order's on the wire.
func OrderVerb(o core.Command) string { return orderVerbs[o.Kind] }

// JobStateName is a job's state on the wire.
func JobStateName(state string) string { return jobStates[state] }

func ordersWire(orders []core.Command) []orderWire {
	out := make([]orderWire, len(orders))
	for i, o := range orders {
		out[i] = orderWire{Op: OrderVerb(o), Task: o.Task, Attempt: o.Attempt}
		if o.Kind == core.CommandStop {
			g := float64(o.Grace) / 1e6
			out[i].Grace = &g
		}
	}
	return out
}

// EncodeReply makes the body of an answer.
func EncodeReply(r core.Reply) []byte {
	var v any
	switch {
	case r.Job != nil:
		v = jobResponse{r.Job.ID, JobStateName(r.Job.State), r.Job.Done, r.Job.Running}
	case r.Sweep != nil || r.Runs != nil:
		v = sweepResponseOf(r)
	case r.Ops != nil:
		v = r.Ops
	case r.Decommission != nil:
		v = struct {
			Name string `json:"controller"`
			Gone bool   `json:"gone"`
		}{r.Decommission.Name, r.Decommission.Decommissioned}
	case r.Status == 421:
		v = struct {
			Leader string `json:"foreman,omitempty"`
		}{r.Leader}
	case r.Status == 200 && r.FencingToken != 0:
		v = heartbeatResponse{r.FencingToken, ordersWire(r.Commands)}
	case r.Error != "":
		v = struct {
			Error string `json:"error"`
		}{r.Error}
	default:
		return []byte("{}")
	}
	b, err := json.Marshal(v)
	if err != nil {
		panic(err) // plain structs always encode
	}
	return b
}
