package node

import (
	"testing"
	"time"
)

// TestIsExpired checks that a cloud call that changes something is made before its
// deadline and dropped after it, however long the process was suspended since the call
// was decided.
func TestIsExpired(t *testing.T) {
	n := &Node{start: time.Now().Add(-time.Hour)}
	for _, tc := range []struct {
		in   time.Duration
		want bool
	}{{time.Hour, false}, {-time.Microsecond, true}, {-30 * time.Second, true}} {
		if got := n.isExpired(n.now() + tc.in.Microseconds()); got != tc.want {
			t.Errorf("call with deadline in %v: got expired %v, want %v", tc.in, got, tc.want)
		}
	}
}
