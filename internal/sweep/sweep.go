// Package sweep parses and expands sweeps. A sweep describes one job that is run with many
// sets of parameter values. The package is pure: the same description expands to the same
// runs in the same order on any machine, so a sweep is stored as its description instead of
// its runs.
package sweep

import (
	"fmt"
	"regexp"

	"google.golang.org/protobuf/encoding/prototext"

	"github.com/zinclb/zinclb/internal/sweep/sweeppb"
)

// Limits of a sweep.
const (
	// MaxRuns is the maximum number of runs of a sweep.
	MaxRuns = 10_000
	// MaxParameters is the maximum number of parameters of a sweep.
	MaxParameters = 32
	// MaxText is the maximum length of a string value in bytes.
	MaxText = 1024

	maxSkips       = 32
	maxPending     = 1000
	defaultPending = 100
)

var (
	idPattern   = regexp.MustCompile(`^[A-Za-z0-9._-]{1,48}$`)
	namePattern = regexp.MustCompile(`^[A-Za-z_][A-Za-z0-9_]{0,63}$`)
)

// ValidID reports whether id is a valid sweep id.
func ValidID(id string) bool { return idPattern.MatchString(id) }

// Parse parses the text of a sweep file.
func Parse(text []byte) (*sweeppb.Sweep, error) {
	s := &sweeppb.Sweep{}
	if err := prototext.Unmarshal(text, s); err != nil {
		return nil, fmt.Errorf("sweep: %w", err)
	}
	return s, nil
}

// Encode encodes a sweep as the text that is sent and stored.
func Encode(s *sweeppb.Sweep) []byte {
	b, err := prototext.Marshal(s)
	if err != nil {
		panic(err) // cannot happen: a parsed message can be encoded
	}
	return b
}

// MaxUnfinished returns the maximum number of runs that may be unfinished at the same time.
func MaxUnfinished(s *sweeppb.Sweep) int {
	if s.Pending == nil {
		return defaultPending
	}
	return int(s.GetPending())
}
