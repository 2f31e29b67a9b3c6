package core

import (
	"encoding/json"
	"fmt"
	"strconv"
	"strings"

	"github.com/RoaringBitmap/roaring/v2"
)

// A sweep is stored as its description, in one transaction, and so accepted whole or
// not at all. Its runs are derived from that by the leader, in their order, a few at a
// time; how many are created is stored with each step. One key, created once, says how
// the sweep ended. docs/sweeps.md has the reasons.
const (
	sweepRoot           = Prefix + "sweep"
	sweepPrefix         = sweepRoot + "/"    // ID: the head; ID/N: a part of the description
	sweepPositionPrefix = sweepRoot + "at/"  // ID: how far the runs have come; ID/gone: those cancelled
	sweepEndPrefix      = sweepRoot + "end/" // ID: how it ended

	cancelledRunsSuffix = "/gone"

	// RunPrefix begins the ids of all runs, and of no other job.
	RunPrefix = "sweep."
)

// sweepHead is stored once, when a sweep is accepted.
type sweepHead struct {
	Runs          int    `json:"n"`
	Parts         int    `json:"p"`
	MaxUnfinished int    `json:"b"`
	Digest        string `json:"d"`
	Submitted     int64  `json:"t"`
}

// sweepPosition is how far a sweep has come: the runs before Next are created, and all
// of these have ended and are counted but the open ones.
type sweepPosition struct {
	Next   int    `json:"n"`
	Open   string `json:"o,omitempty"`
	Closed bool   `json:"c,omitempty"`
}

// cancelledRuns are the counted runs that are not done. They have a value of their own,
// as both would not fit the smallest one; it is written with sweepPosition where it
// changed.
type cancelledRuns struct {
	Runs string `json:"r"`
}

// sweepEndRecord is how a sweep ended.
type sweepEndRecord struct {
	Outcome string `json:"o"`
	At      int64  `json:"t"`
}

// sweepKey is what a key of a sweep says of it, without its prefix.
type sweepKey struct {
	kind   sweepKeyKind
	id     string
	suffix string // after the id, where hasSuffix
	// hasSuffix tells ID/ from ID.
	hasSuffix bool
}

type sweepKeyKind string

// The kinds of keys, as they are stored below Prefix.
const (
	sweepKeyDescription sweepKeyKind = "sweep"
	sweepKeyPosition    sweepKeyKind = "sweepat"
	sweepKeyEnd         sweepKeyKind = "sweepend"
)

func parseSweepKey(key string) sweepKey {
	kind, rest, _ := strings.Cut(key, "/")
	id, suffix, hasSuffix := strings.Cut(rest, "/")
	return sweepKey{kind: sweepKeyKind(kind), id: id, suffix: suffix, hasSuffix: hasSuffix}
}

// apply applies a change of a sweep's key to the cache; key is without Prefix, and
// bad is called with the error of a value that can't be read.
func (m *sweepManager) apply(key string, change Change, bad func(error)) {
	if change.Removed {
		return // none ever is
	}
	k := parseSweepKey(key)
	s := m.sweep(k.id)
	var err error
	switch {
	case k.kind == sweepKeyDescription && k.hasSuffix:
		err = s.applyPart(k.suffix, change.Value)
	case k.kind == sweepKeyDescription:
		err = s.applyHead(change)
	case k.kind == sweepKeyPosition && k.hasSuffix:
		err = s.applyCancelledRuns(change.Value)
	case k.kind == sweepKeyPosition:
		err = s.applyPosition(change)
	case k.kind == sweepKeyEnd:
		err = m.applySweepEnd(k.id, change)
	}
	if err != nil {
		bad(err)
	}
}

// applyPart takes over a part of the description, which only a sweep under way needs.
func (s *sweep) applyPart(number string, value []byte) error {
	n, err := strconv.Atoi(number)
	if err != nil {
		return fmt.Errorf("number of a part of a description: %w", err)
	}
	var text string
	if err := json.Unmarshal(value, &text); err != nil {
		return fmt.Errorf("part of a description: %w", err)
	}
	if !s.closed {
		s.parts[n] = text
	}
	return nil
}

func (s *sweep) applyHead(change Change) error {
	if err := json.Unmarshal(change.Value, &s.head); err != nil {
		return fmt.Errorf("head of a sweep: %w", err)
	}
	s.headRevision = change.Revision
	return nil
}

func (s *sweep) applyCancelledRuns(value []byte) error {
	var stored cancelledRuns
	if err := json.Unmarshal(value, &stored); err != nil {
		return fmt.Errorf("cancelled runs: %w", err)
	}
	runs, err := decodeRunSet(stored.Runs)
	if err != nil {
		return err
	}
	s.cancelled.Or(runs)
	s.cancelledStored = max(s.cancelledStored, runs.GetCardinality())
	return nil
}

// applyPosition takes over a newer position; all of it only ever grows.
func (s *sweep) applyPosition(change Change) error {
	if change.Revision <= s.positionRevision {
		return nil
	}
	var position sweepPosition
	if err := json.Unmarshal(change.Value, &position); err != nil {
		return fmt.Errorf("position of a sweep: %w", err)
	}
	open, err := decodeRunSet(position.Open)
	if err != nil {
		return err
	}
	ended := roaring.New()
	ended.AddRange(0, uint64(position.Next))
	ended.AndNot(open)
	s.ended.Or(ended)
	s.next = max(s.next, position.Next)
	s.positionRevision = change.Revision
	if position.Closed {
		s.close()
	}
	return nil
}

func (m *sweepManager) applySweepEnd(id string, change Change) error {
	var end sweepEndRecord
	if err := json.Unmarshal(change.Value, &end); err != nil {
		return fmt.Errorf("end of a sweep: %w", err)
	}
	m.sweepEnded(id, end.Outcome, change.Revision)
	return nil
}
