package api

import (
	"encoding/base64"
	"encoding/json"
	"errors"
	"fmt"
	"strconv"

	"github.com/klauspost/compress/zstd"

	"github.com/zinclb/zinclb/internal/core"
	"github.com/zinclb/zinclb/internal/core/jobstate"
	"github.com/zinclb/zinclb/internal/sweep"
	"github.com/zinclb/zinclb/internal/sweep/sweeppb"
)

const (
	// storedJobOverhead is the maximum number of bytes that a stored job has in addition
	// to its specification, for its times and its outcome.
	storedJobOverhead = 100
	// maxDescriptionBytes is the maximum size of an unpacked description.
	maxDescriptionBytes = 4 << 20
	// packWindowBytes is the window size of the zstd compression.
	packWindowBytes = 256 << 10
)

// ExpandSweep expands a description into a plan and checks each run in the same way as a
// submission. If it returns an error, the plan is incomplete and has at least the
// description's id, which may be invalid.
func ExpandSweep(description *sweeppb.Sweep) (*core.SweepPlan, error) {
	expansion, err := sweep.Expand(description)
	if err != nil {
		return &core.SweepPlan{ID: description.Id}, err
	}
	plan := &core.SweepPlan{ID: expansion.ID, Digest: expansion.Digest, MaxUnfinished: expansion.MaxUnfinished}
	for i := range expansion.Runs {
		run := &expansion.Runs[i]
		spec, err := decodeRun(run)
		if err != nil {
			return plan, fmt.Errorf("run %s: %w", expansion.Describe(run.Values), err)
		}
		spec.Sweep, spec.Run = expansion.ID, i
		plan.Specs = append(plan.Specs, spec)
		plan.Values = append(plan.Values, encodeValues(expansion, run))
		plan.Sets = append(plan.Sets, run.SetIndexes)
		plan.Longest = max(plan.Longest, len(jobstate.Encode(spec))+storedJobOverhead)
	}
	return plan, nil
}

// decodeRun decodes a run's job in the same way as a submission.
func decodeRun(run *sweep.Run) (*jobstate.Spec, error) {
	body, err := json.Marshal(run.Job)
	if err != nil {
		return nil, err
	}
	submitted, err := DecodeSubmission(body)
	if err != nil {
		return nil, err
	}
	if submitted.Invalid != "" {
		return nil, errors.New(submitted.Invalid)
	}
	return submitted.Spec, nil
}

// encodeValues encodes a run's values as a JSON object in the order of the parameters.
func encodeValues(expansion *sweep.Expansion, run *sweep.Run) json.RawMessage {
	b := []byte{'{'}
	for i, parameter := range expansion.Parameters {
		if i > 0 {
			b = append(b, ',')
		}
		b = append(strconv.AppendQuote(b, parameter), ':')
		b = append(b, jobstate.Encode(run.Values[i])...)
	}
	return append(b, '}')
}

// PackSweep compresses a description and encodes it in base64, which is the form in which
// it is stored.
func PackSweep(description *sweeppb.Sweep) (string, error) {
	encoder, err := zstd.NewWriter(nil, zstd.WithEncoderConcurrency(1), zstd.WithWindowSize(packWindowBytes))
	if err != nil {
		return "", fmt.Errorf("pack a sweep: %w", err)
	}
	packed := encoder.EncodeAll(sweep.Encode(description), nil)
	if err := encoder.Close(); err != nil {
		return "", fmt.Errorf("pack a sweep: %w", err)
	}
	return base64.RawStdEncoding.EncodeToString(packed), nil
}

// UnpackSweep decodes and expands a description that PackSweep encoded.
func UnpackSweep(stored string) (*core.SweepPlan, error) {
	description, err := unpackDescription(stored)
	if err != nil {
		return nil, fmt.Errorf("unpack a sweep: %w", err)
	}
	return ExpandSweep(description)
}

func unpackDescription(stored string) (*sweeppb.Sweep, error) {
	packed, err := base64.RawStdEncoding.DecodeString(stored)
	if err != nil {
		return nil, err
	}
	decoder, err := zstd.NewReader(nil, zstd.WithDecoderConcurrency(1), zstd.WithDecoderMaxMemory(maxDescriptionBytes))
	if err != nil {
		return nil, err
	}
	defer decoder.Close()
	text, err := decoder.DecodeAll(packed, nil)
	if err != nil {
		return nil, err
	}
	return sweep.Parse(text)
}

// DecodeSweep decodes a sweep's submission, which is a sweep file without references to
// other files. If the sweep's id is valid and the rest is not, it returns a message with the
// error in Invalid instead of an error. It takes a long time for a large sweep.
func DecodeSweep(body []byte) (core.SubmitSweep, error) {
	description, err := sweep.Parse(body)
	if err != nil {
		return core.SubmitSweep{}, err
	}
	plan, err := ExpandSweep(description)
	switch {
	case err == nil:
		stored, err := PackSweep(description)
		return core.SubmitSweep{Plan: plan, Stored: stored}, err
	case sweep.ValidID(description.Id):
		return core.SubmitSweep{Plan: plan, Invalid: err.Error()}, nil
	default:
		return core.SubmitSweep{}, err
	}
}

// SweepResponse is a sweep's state on the wire.
type SweepResponse struct {
	ID        string `json:"id"`
	Status    string `json:"status"`
	Runs      int    `json:"runs"`
	Created   int    `json:"created"`
	Done      int    `json:"done"`
	Withdrawn int    `json:"withdrawn"`
}

func newSweepResponse(s *core.SweepState) SweepResponse {
	return SweepResponse{
		ID:        s.ID,
		Status:    JobStateName(s.State),
		Runs:      s.Runs,
		Created:   s.Created,
		Done:      s.Done,
		Withdrawn: s.Cancelled,
	}
}

// RunResponse is a run of a sweep on the wire.
type RunResponse struct {
	Run    int             `json:"run"`
	ID     string          `json:"name_id"`
	Status string          `json:"status"`
	Values json.RawMessage `json:"values"`
	// Sets are the indexes, among all sets of values of the sweep, of the identical sets that
	// were merged into this run. It is absent if the run stands for one set only.
	Sets []int `json:"sets,omitempty"`
}

// NewRunResponse converts a run to its wire form.
func NewRunResponse(run core.SweepRun) RunResponse {
	response := RunResponse{
		Run:    run.Number,
		ID:     run.ID,
		Status: runStateName(run.State),
		Values: run.Values,
	}
	if len(run.Sets) > 1 {
		response.Sets = run.Sets
	}
	return response
}

// runStateName returns the wire name of a run's state: the name of its job's state, or the
// state unchanged if it is one that only runs have, for example before the job is created.
func runStateName(state string) string {
	if name := JobStateName(state); name != "" {
		return name
	}
	return state
}

// RunPageResponse is a page of runs on the wire.
type RunPageResponse struct {
	Runs []RunResponse `json:"runs"`
	// Next is the value of the parameter after for the next page. It is absent on the
	// last page.
	Next int `json:"next,omitempty"`
}

func newRunPageResponse(page *core.SweepPage) RunPageResponse {
	response := RunPageResponse{Runs: []RunResponse{}, Next: page.Next}
	for _, run := range page.Runs {
		response.Runs = append(response.Runs, NewRunResponse(run))
	}
	return response
}
