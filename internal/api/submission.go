// Package api is the wire of users and workers: it turns requests into messages to the
// core and the core's replies into answers. Their wire names stand only here.
package api

import (
	"encoding/json"
	"errors"
	"fmt"
	"strings"

	"github.com/zinclb/zinclb/internal/core"
	"github.com/zinclb/zinclb/internal/core/jobstate"
)

// submission is a job on the wire. A field that is missing is nil. The type's name is
// part of the errors that users see.
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

// MaxIDLength bounds job ids, so that every key made of them fits the store.
const MaxIDLength = 128

const (
	// maxNameLength bounds the names in a submission.
	maxNameLength = 256
	// maxDependencies bounds the jobs that one may depend on; what can be stored may
	// be less.
	maxDependencies = 1000
)

// Largest amounts of a submission, in the wire's units.
const (
	maxAmount   = 1e6
	maxMemoryGB = 1e7
	maxSeconds  = 1e9
)

// Units of the core for one of the wire's.
const (
	milli           = 1000
	mbPerGB         = 1000
	microsPerSecond = 1e6
)

// forbiddenInIDs has the characters that an id may not have, as they mean something in
// a path.
const forbiddenInIDs = "/?#%&\"\\"

// ValidID says whether an id can be a job's.
func ValidID(id string) bool {
	if id == "" || len(id) > MaxIDLength {
		return false
	}
	for _, r := range id {
		if r <= ' ' || r > '~' || strings.ContainsRune(forbiddenInIDs, r) {
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
			return invalidJob(head.ID, err), nil
		}
		return core.SubmitJob{}, fmt.Errorf("not a job: %w", err)
	}
	if w.ID == nil || !ValidID(*w.ID) {
		return core.SubmitJob{}, errors.New("name_id: missing or invalid")
	}
	var check fieldChecker
	spec := w.spec(&check)
	return check.submission(spec), nil
}

// submission is that of a job whose fields have been read.
func (c *fieldChecker) submission(spec *jobstate.Spec) core.SubmitJob {
	if c.err != nil {
		return invalidJob(spec.ID, c.err)
	}
	return core.SubmitJob{Spec: spec}
}

// invalidJob is the submission of a job of which only the id is good.
func invalidJob(id string, why error) core.SubmitJob {
	return core.SubmitJob{Spec: &jobstate.Spec{ID: id}, Invalid: why.Error()}
}

// spec reads the fields in their order on the wire, so that the first one that is
// wrong is named.
func (w *submission) spec(check *fieldChecker) *jobstate.Spec {
	return &jobstate.Spec{
		ID:       *w.ID,
		Class:    check.name("herd", w.Class),
		Team:     check.name("steward", w.Team),
		Image:    check.name("seedstock", w.Image),
		Zone:     check.optionalName("paddock", w.Zone),
		Kind:     check.kind("shape", w.Kind),
		Priority: check.priority("urgency", w.Priority),
		Tasks:    check.tasks("hands", w.Tasks),
		Need: jobstate.Resources{
			CPU: check.amount("vcpus", w.CPUs, milli, maxAmount),
			GPU: check.amount("gpus", w.GPUs, milli, maxAmount),
			Mem: check.amount("mem_gb", w.Mem, mbPerGB, maxMemoryGB),
		},
		ImageMB:      check.amount("pull_gb", w.ImageGB, mbPerGB, maxAmount),
		Estimate:     check.seconds("expect_s", w.Estimate),
		Checkpoint:   check.seconds("bank_s", w.Checkpoint),
		Save:         check.seconds("bank_cost_s", w.Save),
		Deadline:     check.optionalSeconds("due_s", w.Deadline),
		Types:        check.types("breeds", w.Types),
		Dependencies: check.dependencies("awaits", w.Dependencies),
		OneZone:      check.flag("one_zone", w.OneZone),
		Spread:       check.flag("scatter", w.Spread),
		Spot:         check.flag("borrowed", w.Spot),
	}
}
