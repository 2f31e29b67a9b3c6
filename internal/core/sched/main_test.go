package sched

import (
	"os"
	"testing"

	"github.com/zinclb/zinclb/internal/rapidtest"
)

// TestMain makes property tests use the same seeds in every run.
func TestMain(m *testing.M) { os.Exit(rapidtest.Main(m)) }
