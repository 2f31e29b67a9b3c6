package main

import (
	"testing"

	"github.com/zinclb/zinclb/internal/golden"
)

// TestRecorded compares the names of commands and flags with their recorded form.
func TestRecorded(t *testing.T) {
	golden.Compare(t, "testdata/commands.txt", golden.Commands(rootCommand()))
}
