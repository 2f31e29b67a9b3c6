package ratelimit

import (
	"os"
	"testing"

	"github.com/zinclb/zinclb/internal/rapidtest"
)

// TestMain runs the property-based tests with the same inputs in every run.
func TestMain(m *testing.M) { os.Exit(rapidtest.Main(m)) }
