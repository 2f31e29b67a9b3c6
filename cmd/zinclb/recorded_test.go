package main

import (
	"testing"

	"github.com/zinclb/zinclb/internal/golden"
)

// TestRecorded compares the names of all commands and flags with a golden file.
func TestRecorded(t *testing.T) {
	golden.Compare(t, "testdata/commands.txt", golden.Commands(rootCommand()))
}
