// Package api implements the HTTP API for users and workers: it converts requests into
// messages to the core and the core's replies into answers. It is the only package that
// knows the API's wire names.
package api

import (
	"encoding/json"
	"errors"
	"fmt"
	"strings"

	"github.com/zinclb/zinclb/internal/core"
	"github.com/zinclb/zinclb/internal/core/jobstate"
)

// submission is a job on the wire. A missing field is nil. The name of this type appears in
// errors that users see, because encoding/json includes it.
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

// MaxIDLength is the maximum length of a job id in bytes. It ensures that every key that
// contains an id fits into the limits of the state service.
const MaxIDLength = 128

const (
	// maxNameLength is the maximum length of a name in a submission, in bytes.
	maxNameLength = 256
	// maxDependencies is the maximum number of jobs that a job may depend on. The size
	// of a stored value may limit it further.
	maxDependencies = 1000
)

// Largest amounts in a submission, in the wire's units.
const (
	maxAmount   = 1e6
	maxMemoryGB = 1e7
	maxSeconds  = 1e9
)

// Conversion factors: units of the core per unit of the wire.
const (
	milliPerUnit    = 1000
	mbPerGB         = 1000
	microsPerSecond = 1e6
)

// forbiddenInIDs are the characters that an id may not contain, because they have a
// meaning in a path.
const forbiddenInIDs = "/?#%&\"\\"

// ValidID reports whether id is a valid job id.
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

// DecodeSubmission decodes a submission. If the id is valid and another field is not, it
// returns a message with the error in Invalid instead of an error, because a job with this
// id may already exist.
func DecodeSubmission(body []byte) (core.SubmitJob, error) {
	var submitted submission
	if err := json.Unmarshal(body, &submitted); err != nil {
		var onlyID struct {
			ID string `json:"name_id"`
		}
		if json.Unmarshal(body, &onlyID) == nil && ValidID(onlyID.ID) {
			return invalidSubmission(onlyID.ID, err), nil
		}
		return core.SubmitJob{}, fmt.Errorf("not a job: %w", err)
	}
	if submitted.ID == nil || !ValidID(*submitted.ID) {
		return core.SubmitJob{}, errors.New("name_id: missing or invalid")
	}
	var check fieldChecker
	spec := submitted.spec(&check)
	return check.submission(spec), nil
}

// submission returns the message for a job whose fields have been checked.
func (c *fieldChecker) submission(spec *jobstate.Spec) core.SubmitJob {
	if c.err != nil {
		return invalidSubmission(spec.ID, c.err)
	}
	return core.SubmitJob{Spec: spec}
}

// invalidSubmission returns the message for a job of which only the id is valid.
func invalidSubmission(id string, err error) core.SubmitJob {
	return core.SubmitJob{Spec: &jobstate.Spec{ID: id}, Invalid: err.Error()}
}

// spec checks and converts the fields. If several fields are invalid, the error is that of
// the first one in the order of the calls.
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
			CPU: check.amount("vcpus", w.CPUs, milliPerUnit, maxAmount),
			GPU: check.amount("gpus", w.GPUs, milliPerUnit, maxAmount),
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
