// Package sweep describes one job for many sets of values, and expands it. It
// is pure: the same file gives the same runs in the same order on any machine,
// so that a sweep is stored as its description and not as its runs.
package sweep

import (
	"fmt"
	"regexp"

	"google.golang.org/protobuf/encoding/prototext"

	"github.com/zinclb/zinclb/internal/sweep/sweeppb"
)

// Bounds of a sweep.
const (
	// MaxRuns is how many runs a sweep may have.
	MaxRuns = 10_000
	// MaxParameters is how many parameters it may have.
	MaxParameters = 32
	// MaxText is how many bytes a value may have that is a text.
	MaxText = 1024

	maxSkips       = 32
	maxPending     = 1000
	defaultPending = 100
)

var (
	idPattern   = regexp.MustCompile(`^[A-Za-z0-9._-]{1,48}$`)
	namePattern = regexp.MustCompile(`^[A-Za-z_][A-Za-z0-9_]{0,63}$`)
)

// ValidID says whether an id can be a sweep's.
func ValidID(id string) bool { return idPattern.MatchString(id) }

// Parse reads a sweep file.
func Parse(text []byte) (*sweeppb.Sweep, error) {
	s := &sweeppb.Sweep{}
	if err := prototext.Unmarshal(text, s); err != nil {
		return nil, fmt.Errorf("sweep: %w", err)
	}
	return s, nil
}

// Encode makes the description that is sent and stored.
func Encode(s *sweeppb.Sweep) []byte {
	b, err := prototext.Marshal(s)
	if err != nil {
		panic(err) // what was parsed encodes
	}
	return b
}

// MaxUnfinished is how many runs may be unfinished at once.
func MaxUnfinished(s *sweeppb.Sweep) int {
	if s.Pending == nil {
		return defaultPending
	}
	return int(s.GetPending())
}
