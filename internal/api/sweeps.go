package api

import (
	"encoding/base64"
	"encoding/json"
	"errors"
	"fmt"
	"strconv"
	"strings"

	"github.com/klauspost/compress/zstd"

	"github.com/zinclb/zinclb/internal/core"
	"github.com/zinclb/zinclb/internal/core/jobstate"
	"github.com/zinclb/zinclb/internal/sweep"
	"github.com/zinclb/zinclb/internal/sweep/sweeppb"
)

// ExpandSweep makes the plan of a description and checks each run as a
// submission is checked. An error that comes with a plan is of a sweep of which
// the id is good.
func ExpandSweep(s *sweeppb.Sweep) (*core.SweepPlan, error) {
	x, err := sweep.Expand(s)
	if err != nil {
		return &core.SweepPlan{ID: s.Id}, err
	}
	plan := &core.SweepPlan{ID: x.ID, Digest: x.Digest, MaxUnfinished: x.MaxUnfinished}
	for i := range x.Runs {
		r := &x.Runs[i]
		body, err := json.Marshal(r.Job)
		if err != nil {
			return plan, fmt.Errorf("run %s: %w", x.Describe(r.Values), err)
		}
		m, err := DecodeSubmission(body)
		if err == nil && m.Invalid != "" {
			err = errors.New(m.Invalid)
		}
		if err != nil {
			return plan, fmt.Errorf("run %s: %w", x.Describe(r.Values), err)
		}
		m.Spec.Sweep, m.Spec.Run = x.ID, i
		plan.Specs = append(plan.Specs, m.Spec)
		plan.Values = append(plan.Values, encodeValues(x, r))
		plan.Sets = append(plan.Sets, r.SetIndexes)
		// The stored job has its times and what it ended as besides.
		plan.Longest = max(plan.Longest, len(jobstate.Encode(m.Spec))+100)
	}
	return plan, nil
}

// encodeValues writes a run's values in the order of the parameters.
func encodeValues(x *sweep.Expansion, r *sweep.Run) json.RawMessage {
	b := []byte{'{'}
	for i, n := range x.Parameters {
		if i > 0 {
			b = append(b, ',')
		}
		b = append(strconv.AppendQuote(b, n), ':')
		b = append(b, jobstate.Encode(r.Values[i])...)
	}
	return append(b, '}')
}

// maxDescriptionBytes bounds what a stored description unpacks to.
const maxDescriptionBytes = 4 << 20

// PackSweep makes the text that is stored of a description.
func PackSweep(s *sweeppb.Sweep) (string, error) {
	w, err := zstd.NewWriter(nil, zstd.WithEncoderConcurrency(1), zstd.WithWindowSize(256<<10))
	if err != nil {
		return "", fmt.Errorf("pack a sweep: %w", err)
	}
	defer w.Close()
	return base64.RawStdEncoding.EncodeToString(w.EncodeAll(sweep.Encode(s), nil)), nil
}

// UnpackSweep reads it and expands it.
func UnpackSweep(stored string) (*core.SweepPlan, error) {
	fail := func(err error) (*core.SweepPlan, error) { return nil, fmt.Errorf("unpack a sweep: %w", err) }
	b, err := base64.RawStdEncoding.DecodeString(stored)
	if err != nil {
		return fail(err)
	}
	r, err := zstd.NewReader(nil, zstd.WithDecoderConcurrency(1), zstd.WithDecoderMaxMemory(maxDescriptionBytes))
	if err != nil {
		return fail(err)
	}
	defer r.Close()
	if b, err = r.DecodeAll(b, nil); err != nil {
		return fail(err)
	}
	s, err := sweep.Parse(b)
	if err != nil {
		return fail(err)
	}
	return ExpandSweep(s)
}

// DecodeSweep reads a sweep's submission, a sweep file without references to
// other files. It takes long for a large sweep.
func DecodeSweep(body []byte) (core.SubmitSweep, error) {
	s, err := sweep.Parse(body)
	if err != nil {
		return core.SubmitSweep{}, err
	}
	plan, err := ExpandSweep(s)
	if err != nil && !sweep.ValidID(s.Id) {
		return core.SubmitSweep{}, err
	}
	m := core.SubmitSweep{Plan: plan}
	if err != nil {
		m.Invalid = err.Error()
		return m, nil
	}
	m.Stored, err = PackSweep(s)
	return m, err
}

// SweepResponse is the wire form of a sweep's state.
type SweepResponse struct {
	ID        string `json:"id"`
	Status    string `json:"status"`
	Runs      int    `json:"runs"`
	Created   int    `json:"created"`
	Done      int    `json:"done"`
	Withdrawn int    `json:"withdrawn"`
}

// RunResponse is the wire form of a run.
type RunResponse struct {
	Run    int             `json:"run"`
	ID     string          `json:"name_id"`
	Status string          `json:"status"`
	Values json.RawMessage `json:"values"`
	// Sets are the places of its values among all sets, if there are several.
	Sets []int `json:"sets,omitempty"`
}

// RunPageResponse is that of a page of runs.
type RunPageResponse struct {
	Runs []RunResponse `json:"runs"`
	// Next is the number to ask for next, absent at the end.
	Next int `json:"next,omitempty"`
}

func runStateName(s string) string {
	if w, ok := jobStates[s]; ok {
		return w
	}
	return s
}

func sweepResponseOf(r core.Reply) any {
	if s := r.Sweep; s != nil {
		return SweepResponse{s.ID, JobStateName(s.State), s.Runs, s.Created, s.Done, s.Cancelled}
	}
	out := RunPageResponse{Runs: []RunResponse{}, Next: r.Runs.Next}
	for _, x := range r.Runs.Runs {
		out.Runs = append(out.Runs, NewRunResponse(x))
	}
	return out
}

// NewRunResponse makes the wire form of a run.
func NewRunResponse(x core.SweepRun) RunResponse {
	a := RunResponse{x.Number, x.ID, runStateName(x.State), x.Values, nil}
	if len(x.Sets) > 1 {
		a.Sets = x.Sets
	}
	return a
}

// routeSweeps makes the messages of the calls about sweeps that exist. An error
// comes with the status that it is answered with.
func routeSweeps(path, query string) (build func(uint64) any, allow string, status int, err error) {
	id, verb, _ := strings.Cut(strings.TrimPrefix(path, "/sweeps/"), "/")
	if !sweep.ValidID(id) {
		return nil, "", 404, errors.New("no such sweep")
	}
	allow = "GET"
	switch verb {
	case "":
		build = func(req uint64) any { return core.QuerySweep{RequestID: req, ID: id} }
	case "withdraw":
		allow = "POST"
		build = func(req uint64) any { return core.CancelSweep{RequestID: req, ID: id} }
	case "runs":
		after, most := 0, 100
		for _, kv := range strings.Split(query, "&") {
			k, v, _ := strings.Cut(kv, "=")
			n, err := strconv.Atoi(v)
			switch {
			case kv == "":
			case k != "after" && k != "most":
			case err != nil || n < 0 || n > sweep.MaxRuns:
				return nil, "", 400, fmt.Errorf("%s: %q is no number from 0 to %d", k, v, sweep.MaxRuns)
			case k == "after":
				after = n
			default:
				most = n
			}
		}
		build = func(req uint64) any { return core.ListSweepRuns{RequestID: req, ID: id, After: after, Limit: most} }
	default:
		return nil, "", 404, errors.New("no such path")
	}
	return build, allow, 0, nil
}
