package sched

import (
	"os"
	"testing"

	"github.com/zinclb/zinclb/internal/rapidtest"
)

// TestMain has properties tried on the same histories in every run.
func TestMain(m *testing.M) { os.Exit(rapidtest.Main(m)) }
