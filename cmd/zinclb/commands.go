package main

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"os"
	"runtime/debug"
	"time"

	"github.com/spf13/cobra"

	"github.com/zinclb/zinclb/internal/api"
	"github.com/zinclb/zinclb/internal/config"
	"github.com/zinclb/zinclb/internal/httpwire"
)

func checkConfigCommand(path, operators *string) *cobra.Command {
	return &cobra.Command{
		Use:   "check-config",
		Short: "Checks both settings files and prints every fault",
		Args:  cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			if *path == "" && *operators == "" {
				return errors.New("nothing to check: give --config, --operators or both")
			}
			var errs []error
			if *path != "" {
				_, err := config.Load(*path)
				errs = append(errs, err)
			}
			_, err := config.LoadOperators(*operators)
			if err := errors.Join(append(errs, err)...); err != nil {
				return err
			}
			fmt.Fprintln(cmd.OutOrStdout(), "settings are good")
			return nil
		},
	}
}

func versionCommand() *cobra.Command {
	return &cobra.Command{
		Use:   "version",
		Short: "Prints the version",
		Args:  cobra.NoArgs,
		Run: func(cmd *cobra.Command, _ []string) {
			v, commit := "(unknown)", ""
			if b, ok := debug.ReadBuildInfo(); ok {
				v = b.Main.Version
				for _, s := range b.Settings {
					if s.Key == "vcs.revision" {
						commit = s.Value
					}
				}
			}
			fmt.Fprintln(cmd.OutOrStdout(), "zinclb", v, commit)
		},
	}
}

// requestAndPrint speaks to a controller and prints its answer.
func requestAndPrint(cmd *cobra.Command, addr, method, path string, body []byte) error {
	m, err := httpwire.NewClient(addr, 1, 1<<20).Do(method, path, body, 5*time.Second)
	if err != nil {
		return err
	}
	if m.Status >= 300 {
		var e struct {
			Error string `json:"error"`
		}
		if json.Unmarshal(m.Body, &e) != nil || e.Error == "" {
			e.Error = "no reason given"
		}
		hint := ""
		if after := m.Get("retry-after"); after != "" {
			hint = "; try again in " + after + " s"
		}
		return fmt.Errorf("%s answered %d: %s%s", addr, m.Status, e.Error, hint)
	}
	var out bytes.Buffer
	if json.Indent(&out, m.Body, "", "  ") != nil {
		out.Write(m.Body)
	}
	fmt.Fprintln(cmd.OutOrStdout(), out.String())
	return nil
}

func addrFlag(cmd *cobra.Command) *string {
	return cmd.Flags().String("addr", "127.0.0.1:8080", "a controller's front address")
}

func submitCommand() *cobra.Command {
	cmd := &cobra.Command{
		Use:   "submit FILE",
		Short: "Submits the job described by a JSON file, - for standard input",
		Args:  cobra.ExactArgs(1),
	}
	addr := addrFlag(cmd)
	cmd.RunE = func(cmd *cobra.Command, args []string) error {
		var b []byte
		var err error
		if args[0] == "-" {
			b, err = io.ReadAll(io.LimitReader(cmd.InOrStdin(), api.MaxBodyBytes+1))
		} else {
			b, err = os.ReadFile(args[0])
		}
		if err != nil {
			return err
		}
		return requestAndPrint(cmd, *addr, "POST", "/work", b)
	}
	return cmd
}

func statusCommand() *cobra.Command {
	cmd := &cobra.Command{
		Use:   "status [ID]",
		Short: "Shows a job's state, or without an ID that of the service",
		Args:  cobra.MaximumNArgs(1),
	}
	addr := addrFlag(cmd)
	cmd.RunE = func(cmd *cobra.Command, args []string) error {
		if len(args) == 0 {
			return requestAndPrint(cmd, *addr, "GET", "/ops/status", nil)
		}
		if !api.ValidID(args[0]) {
			return fmt.Errorf("%q is no job id", args[0])
		}
		return requestAndPrint(cmd, *addr, "GET", "/work/"+args[0], nil)
	}
	return cmd
}

func goneCommand() *cobra.Command {
	cmd := &cobra.Command{
		Use:   "gone CONTROLLER",
		Short: "Says that a controller which is configured will not come back",
		Long: `Says that a controller which is configured will not come back, so that it holds
no feature back any more (docs/upgrade.md). If it does come back with an older
program, that ends at its start where it can't serve beside what is on by then;
one that never ended and is only cut off does not learn of it before it reaches
the state service again.`,
		Args: cobra.ExactArgs(1),
	}
	addr := addrFlag(cmd)
	back := cmd.Flags().Bool("back", false, "take it back: the controller may return")
	cmd.RunE = func(cmd *cobra.Command, args []string) error {
		if !api.ValidID(args[0]) {
			return fmt.Errorf("%q is no name of a controller", args[0])
		}
		method := "POST"
		if *back {
			method = "DELETE"
		}
		return requestAndPrint(cmd, *addr, method, "/ops/gone/"+args[0], []byte("{}"))
	}
	return cmd
}

func cancelCommand() *cobra.Command {
	cmd := &cobra.Command{
		Use:   "cancel ID",
		Short: "Cancels a job",
		Args:  cobra.ExactArgs(1),
	}
	addr := addrFlag(cmd)
	cmd.RunE = func(cmd *cobra.Command, args []string) error {
		if !api.ValidID(args[0]) {
			return fmt.Errorf("%q is no job id", args[0])
		}
		return requestAndPrint(cmd, *addr, "POST", "/work/"+args[0]+"/withdraw", []byte("{}"))
	}
	return cmd
}
