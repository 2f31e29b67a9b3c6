package node

import (
	"testing"
	"time"
)

// TestLate: a call that changes something at the cloud goes out before its time
// and not after it, however long this process stood still since it was decided.
func TestLate(t *testing.T) {
	n := &Node{start: time.Now().Add(-time.Hour)}
	for _, tc := range []struct {
		in   time.Duration
		want bool
	}{{time.Hour, false}, {-time.Microsecond, true}, {-30 * time.Second, true}} {
		if got := n.isExpired(n.now() + tc.in.Microseconds()); got != tc.want {
			t.Errorf("due in %v: expired %v", tc.in, got)
		}
	}
}
