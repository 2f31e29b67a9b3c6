package core

import (
	"encoding/json"
	"fmt"
	"strconv"
	"strings"

	"github.com/RoaringBitmap/roaring/v2"
)

// The description of a sweep is stored in one transaction, so a sweep is accepted as a whole
// or not at all. The leader creates its runs from the description in order, a few at a time,
// and stores the number of created runs with each step. One key, created once, records how
// the sweep ended. docs/sweeps.md has the reasons.
const (
	sweepRoot           = Prefix + "sweep"
	sweepPrefix         = sweepRoot + "/"    // ID: the head; ID/N: a part of the description
	sweepPositionPrefix = sweepRoot + "at/"  // ID: the position; ID/gone: the cancelled runs
	sweepEndPrefix      = sweepRoot + "end/" // ID: how the sweep ended

	cancelledRunsSuffix = "/gone"

	// RunPrefix is the prefix of the ids of all runs, and of no other job.
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

// sweepPosition is the stored progress of a sweep: the runs before Next are created, and
// all of these except the open ones have ended and are counted.
type sweepPosition struct {
	Next int    `json:"n"`
	Open string `json:"o,omitempty"`
	// Closed is set once the sweep and all of its created runs have ended.
	Closed bool `json:"c,omitempty"`
}

// cancelledRuns has the counted runs that are not done. It is stored in a value of its own,
// because together with sweepPosition it would exceed the smallest value limit. It is
// written together with sweepPosition if it has changed.
type cancelledRuns struct {
	Runs string `json:"r"`
}

// sweepEndRecord is the stored end of a sweep.
type sweepEndRecord struct {
	Outcome string `json:"o"`
	At      int64  `json:"t"`
}

// sweepKey is a parsed key of a sweep, without Prefix.
type sweepKey struct {
	kind   sweepKeyKind
	id     string
	suffix string // the text after ID/, if hasSuffix
	// hasSuffix distinguishes ID/ from ID.
	hasSuffix bool
}

type sweepKeyKind string

// The kinds of keys, as stored after Prefix.
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

// apply applies a change of a sweep's key to the cache. key is without Prefix;
// reportInvalid is called with the error if the value can't be decoded.
func (m *sweepManager) apply(key string, change Change, reportInvalid func(error)) {
	if change.Removed {
		return // keys of sweeps are never removed
	}
	parsed := parseSweepKey(key)
	s := m.getOrAddSweep(parsed.id)
	var err error
	switch {
	case parsed.kind == sweepKeyDescription && parsed.hasSuffix:
		err = s.applyPart(parsed.suffix, change.Value)
	case parsed.kind == sweepKeyDescription:
		err = s.applyHead(change)
	case parsed.kind == sweepKeyPosition && parsed.hasSuffix:
		err = s.applyCancelledRuns(change.Value)
	case parsed.kind == sweepKeyPosition:
		err = s.applyPosition(change)
	case parsed.kind == sweepKeyEnd:
		err = m.applySweepEnd(parsed.id, change)
	}
	if err != nil {
		reportInvalid(err)
	}
}

// applyPart adds a part of the description, unless the sweep is closed and no longer needs
// it.
func (s *sweep) applyPart(number string, value []byte) error {
	n, err := strconv.Atoi(number)
	if err != nil {
		return fmt.Errorf("parse part number of sweep description: %w", err)
	}
	var text string
	if err := json.Unmarshal(value, &text); err != nil {
		return fmt.Errorf("decode part of sweep description: %w", err)
	}
	if !s.closed {
		s.parts[n] = text
	}
	return nil
}

func (s *sweep) applyHead(change Change) error {
	if err := json.Unmarshal(change.Value, &s.head); err != nil {
		return fmt.Errorf("decode sweep head: %w", err)
	}
	s.headRevision = change.Revision
	return nil
}

func (s *sweep) applyCancelledRuns(value []byte) error {
	var stored cancelledRuns
	if err := json.Unmarshal(value, &stored); err != nil {
		return fmt.Errorf("decode cancelled runs of sweep: %w", err)
	}
	runs, err := decodeRunSet(stored.Runs)
	if err != nil {
		return err
	}
	s.cancelled.Or(runs)
	s.cancelledStored = max(s.cancelledStored, runs.GetCardinality())
	return nil
}

// applyPosition merges a newer position into the sweep's progress, which only ever grows.
func (s *sweep) applyPosition(change Change) error {
	if change.Revision <= s.positionRevision {
		return nil
	}
	var position sweepPosition
	if err := json.Unmarshal(change.Value, &position); err != nil {
		return fmt.Errorf("decode sweep position: %w", err)
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
		return fmt.Errorf("decode sweep end: %w", err)
	}
	m.sweepEnded(id, end.Outcome, change.Revision)
	return nil
}
