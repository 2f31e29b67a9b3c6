package experiment

import (
	"bytes"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"log/slog"
	"os/exec"
	"path/filepath"
	"strings"

	"github.com/zeebo/blake3"

	"github.com/zinclb/zinclb/internal/config"
	"github.com/zinclb/zinclb/internal/emulator/faketime"
	"github.com/zinclb/zinclb/internal/emulator/history"
	"github.com/zinclb/zinclb/internal/emulator/scenario"
	"github.com/zinclb/zinclb/internal/emulator/sockets"
	"github.com/zinclb/zinclb/internal/jsonlines"
)

// Head is the name of the version in the working tree, which this program is built from.
const Head = "head"

// Run is a cell of the experiment matrix.
type Run struct {
	Scenario string // file name
	Seed     uint64
	Version  string
	Mode     string // "fake" or "sockets"
	Port     int    // first of its ports, with sockets
	Dir      string // directory for settings and logs, with sockets
}

// RunInProcess runs a cell in this process: in simulated time with the controller cores
// of this program, or on sockets with the controller program binary.
func RunInProcess(r Run, binary string, ops config.Operators) Result {
	out := Result{Seed: r.Seed, Version: r.Version, Mode: r.Mode, Violations: []string{}}
	s, err := scenario.Load(r.Scenario, r.Seed)
	if err != nil {
		out.FailureReason = err.Error()
		return out
	}
	out.Scenario = s.Name
	var events []history.Event
	var expectations history.Expectations
	switch r.Mode {
	case "fake":
		cluster, err := faketime.Run(s.Config, faketime.Options{Operators: ops})
		if err != nil {
			out.FailureReason = err.Error()
			return out
		}
		events, expectations = cluster.History, cluster.Expectations()
	case "sockets":
		driver, err := sockets.New(s.Config, sockets.Options{Dir: r.Dir, Port: r.Port, Binaries: []string{binary}})
		if err == nil {
			events, err = driver.Run(nil)
		}
		if err != nil {
			out.FailureReason = err.Error()
			return out
		}
		expectations = driver.Expectations()
	default:
		out.FailureReason = fmt.Sprintf("mode: %q is neither fake nor sockets", r.Mode)
		return out
	}
	out.Figures = history.Metrics(events, expectations, s.Objectives)
	out.Violations = append(out.Violations, history.FormatViolations(history.CheckAll(events, expectations))...)
	digest := blake3.New()
	if err := jsonlines.Write(digest, events); err != nil {
		out.FailureReason = err.Error()
		return out
	}
	out.Digest = hex.EncodeToString(digest.Sum(nil)[:16])
	return out
}

// Build builds a command at a commit of this repository, or in the working tree for Head, and
// returns the path of the program.
func Build(commit, command, dir string) (string, error) {
	dir, err := filepath.Abs(dir)
	if err != nil {
		return "", err
	}
	out := filepath.Join(dir, strings.ReplaceAll(commit, "/", "_")+"-"+command)
	tree := "."
	if commit != Head {
		tree = filepath.Join(dir, "tree-"+strings.ReplaceAll(commit, "/", "_"))
		if output, err := exec.Command("git", "worktree", "add", "--detach", "--force", tree, commit).CombinedOutput(); err != nil {
			return "", fmt.Errorf("version %s: %w: %s", commit, err, bytes.TrimSpace(output))
		}
		defer func() {
			if err := exec.Command("git", "worktree", "remove", "--force", tree).Run(); err != nil {
				slog.Warn("temporary worktree not removed", "dir", tree, "error", err)
			}
		}()
	}
	cmd := exec.Command("go", "build", "-ldflags=-linkmode=external", "-o", out, "./cmd/"+command)
	cmd.Dir = tree
	if output, err := cmd.CombinedOutput(); err != nil {
		return "", fmt.Errorf("version %s: build %s: %w: %s", commit, command, err, bytes.TrimSpace(output))
	}
	return out, nil
}

// RunProgram runs a cell in simulated time with the experiment program of another version, which
// must have the command "one".
func RunProgram(r Run, program string) Result {
	out := Result{Seed: r.Seed, Version: r.Version, Mode: r.Mode, Violations: []string{}}
	output, err := exec.Command(program, "one", "--scenario", r.Scenario, "--seed", fmt.Sprint(r.Seed)).Output()
	if err != nil {
		out.FailureReason = err.Error()
		return out
	}
	if err := json.Unmarshal(output, &out); err != nil {
		out.FailureReason = err.Error()
	}
	out.Version = r.Version
	return out
}
