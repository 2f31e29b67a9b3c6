// Command zinclb-emulator emulates, on loopback, the environment of zinclb's controllers that a
// scenario describes: the state service, the cloud, workers, users and their load balancer, and
// the faults that happen to them. It exits when the length of the scenario has passed.
package main

import (
	"fmt"
	"io"
	"net/http"
	"os"
	"os/signal"
	"path/filepath"
	"strings"
	"syscall"
	"time"

	"github.com/spf13/cobra"

	"github.com/zinclb/zinclb/internal/emulator/environment"
	"github.com/zinclb/zinclb/internal/emulator/history"
	"github.com/zinclb/zinclb/internal/emulator/scenario"
	"github.com/zinclb/zinclb/internal/emulator/sockets"
	"github.com/zinclb/zinclb/internal/jsonlines"
)

func main() {
	if err := rootCommand().Execute(); err != nil {
		fmt.Fprintln(os.Stderr, "zinclb-emulator:", err)
		os.Exit(1)
	}
}

func rootCommand() *cobra.Command {
	var path, out string
	var seed uint64
	var length time.Duration
	options := sockets.Options{}
	cmd := &cobra.Command{
		Use:           "zinclb-emulator --scenario FILE",
		Short:         "Serves an environment for zinclb on loopback for the length of a scenario",
		SilenceUsage:  true,
		SilenceErrors: true,
		Args:          cobra.NoArgs,
		RunE: func(*cobra.Command, []string) error {
			if path == "" {
				return fmt.Errorf("--scenario is missing; see scenarios/ for examples")
			}
			loaded, err := scenario.Load(path, seed)
			if err != nil {
				return err
			}
			if length > 0 {
				loaded.Length = length.Microseconds()
			}
			return serve(loaded, options, out)
		},
	}
	flags := cmd.Flags()
	flags.StringVar(&path, "scenario", "", "scenario file, in protobuf text format")
	flags.Uint64Var(&seed, "seed", 0, "seed, in place of the scenario's")
	flags.DurationVar(&length, "length", 0, "length, in place of the scenario's")
	flags.StringVar(&options.Dir, "dir", "target/emulator", "directory for the settings and logs of controllers")
	flags.IntVar(&options.Port, "port", 7100, "port of the load balancer; the controllers use the ports after it")
	flags.StringSliceVar(&options.Binaries, "binary", nil, "controller programs, assigned in rotation; without any, controllers have to be started by hand")
	flags.StringSliceVar(&options.Args, "arg", nil, "arguments of the controller programs before --config")
	flags.StringVar(&out, "history", "", "file to write the history to, as JSON lines")
	cmd.AddCommand(checkCommand(), faultCommand(), partitionsCommand(), faultCombosCommand(), outagesCommand(), soakCommand(), scaleCommand(), capacityCommand(), workersCommand())
	return cmd
}

// serve runs a scenario and prints its results. It writes the history to the file out, unless out is
// empty. It returns an error if a rule was violated.
func serve(s *scenario.Scenario, options sockets.Options, out string) error {
	options.OnProgress = func(p sockets.Progress) {
		fmt.Printf("%4.0f of %.0f s: %d jobs accepted, %d tasks started, %d done\n", p.Now.Seconds(), p.Length.Seconds(), p.JobsAccepted, p.TasksStarted, p.TasksCompleted)
	}
	driver, err := sockets.New(s.Config, options)
	if err != nil {
		return err
	}
	end := make(chan struct{})
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, os.Interrupt, syscall.SIGTERM)
	go func() {
		<-signals
		close(end)
	}()
	fmt.Printf("%s: %d controllers for %d s; users' address 127.0.0.1:%d\n", s.Name, s.Params.Size, s.Length/1_000_000, options.Port)
	if len(options.Binaries) == 0 {
		for i := range s.Params.Size {
			fmt.Printf("start: target/zinclb --config %s\n", driver.SettingsPath(i))
		}
	}
	events, err := driver.Run(end)
	if err != nil {
		return err
	}
	if out != "" {
		if err := writeHistory(out, events); err != nil {
			return err
		}
	}
	figures := history.Metrics(events, driver.Expectations(), s.Objectives)
	for _, objective := range s.Objectives {
		switch share, ok := figures[objective.Name()]; {
		case !ok:
			fmt.Printf("nothing   %s: no job to count\n", objective.Name())
		case share < objective.Share:
			fmt.Printf("missed    %s: %.3f, at least %g was aimed at\n", objective.Name(), share, objective.Share)
		default:
			fmt.Printf("met       %s: %.3f, at least %g was aimed at\n", objective.Name(), share, objective.Share)
		}
	}
	violations := history.CheckAll(events, driver.Expectations())
	for _, violation := range violations {
		fmt.Println("broken", violation)
	}
	if len(violations) > 0 {
		return fmt.Errorf("%d breaches of the rules", len(violations))
	}
	fmt.Printf("%d events, no rule broken\n", len(events))
	return nil
}

func writeHistory(path string, events []history.Event) error {
	if err := os.MkdirAll(filepath.Dir(path), 0o755); err != nil {
		return err
	}
	return jsonlines.WriteFile(path, events)
}

func checkCommand() *cobra.Command {
	return &cobra.Command{
		Use:   "check FILE...",
		Short: "Checks scenarios and names invalid fields",
		Args:  cobra.MinimumNArgs(1),
		RunE: func(_ *cobra.Command, args []string) error {
			for _, path := range args {
				s, err := scenario.Load(path, 0)
				if err != nil {
					return err
				}
				fmt.Printf("%s: %s, %d s, %d controllers, %d jobs, %d faults\n", path, s.Name, s.Length/1_000_000, s.Params.Size, len(s.Jobs), len(s.Faults))
			}
			return nil
		},
	}
}

func faultCommand() *cobra.Command {
	var addr string
	cmd := &cobra.Command{
		Use:   "fault 'kind: \"cut\" hosts: \"zone:a\" for_s: 30'",
		Short: "Injects a fault into a running emulator",
		Long:  "Injects a fault into a running emulator, effective immediately. Kinds:\n" + faultKindsHelp(),
		Args:  cobra.ExactArgs(1),
		RunE: func(_ *cobra.Command, args []string) error {
			if _, err := scenario.ParseFault([]byte(args[0])); err != nil {
				return err
			}
			client := http.Client{Timeout: 5 * time.Second}
			response, err := client.Post("http://"+addr+"/emulator/fault", "text/plain", strings.NewReader(args[0]))
			if err != nil {
				return err
			}
			defer func() { _ = response.Body.Close() }()
			if body, _ := io.ReadAll(io.LimitReader(response.Body, 1<<16)); response.StatusCode != http.StatusOK {
				return fmt.Errorf("%s", strings.TrimSpace(string(body)))
			}
			return nil
		},
	}
	cmd.Flags().StringVar(&addr, "addr", "127.0.0.1:7100", "address of the emulator for users")
	return cmd
}

// faultKindsHelp lists the kinds of faults with their descriptions, one per line.
func faultKindsHelp() string {
	var b strings.Builder
	for _, kind := range environment.FaultKinds() {
		fmt.Fprintf(&b, "  %-16s %s\n", kind, kind.Help())
	}
	return b.String()
}
