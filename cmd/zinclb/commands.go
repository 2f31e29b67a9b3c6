package main

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"os"
	"runtime/debug"

	"github.com/spf13/cobra"

	"github.com/zinclb/zinclb/internal/api"
	"github.com/zinclb/zinclb/internal/config"
)

func checkConfigCommand(path, operators *string) *cobra.Command {
	return &cobra.Command{
		Use:   "check-config",
		Short: "Checks both settings files and prints every error",
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
			_, err = fmt.Fprintln(cmd.OutOrStdout(), "settings are good")
			return err
		},
	}
}

func versionCommand() *cobra.Command {
	return &cobra.Command{
		Use:   "version",
		Short: "Prints the version",
		Args:  cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			version, commit := buildVersion()
			_, err := fmt.Fprintln(cmd.OutOrStdout(), "zinclb", version, commit)
			return err
		},
	}
}

// buildVersion returns the version of the program and the commit that it was built from.
func buildVersion() (version, commit string) {
	build, ok := debug.ReadBuildInfo()
	if !ok {
		return "(unknown)", ""
	}
	for _, setting := range build.Settings {
		if setting.Key == "vcs.revision" {
			commit = setting.Value
		}
	}
	return build.Main.Version, commit
}

// requestAndPrint sends a request to a controller and prints its answer.
func requestAndPrint(cmd *cobra.Command, addr, method, path string, body []byte) error {
	answer, err := call(addr, method, path, body, maxAnswerBytes, callTimeout)
	var refused *responseError
	if errors.As(err, &refused) && refused.retryAfter != "" {
		return fmt.Errorf("%w; try again in %s s", err, refused.retryAfter)
	}
	if err != nil {
		return err
	}
	var indented bytes.Buffer
	if json.Indent(&indented, answer, "", "  ") != nil {
		indented.Reset()
		indented.Write(answer)
	}
	_, err = fmt.Fprintln(cmd.OutOrStdout(), indented.String())
	return err
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
		job, err := readJob(cmd.InOrStdin(), args[0])
		if err != nil {
			return err
		}
		return requestAndPrint(cmd, *addr, http.MethodPost, "/work", job)
	}
	return cmd
}

// readJob reads a file, or standard input for "-".
func readJob(stdin io.Reader, path string) ([]byte, error) {
	if path != "-" {
		return os.ReadFile(path)
	}
	// One byte more than a controller accepts is enough to make it refuse the job.
	return io.ReadAll(io.LimitReader(stdin, api.MaxBodyBytes+1))
}

func statusCommand() *cobra.Command {
	cmd := &cobra.Command{
		Use:   "status [ID]",
		Short: "Shows the state of a job, or of the service if no ID is given",
		Args:  cobra.MaximumNArgs(1),
	}
	addr := addrFlag(cmd)
	cmd.RunE = func(cmd *cobra.Command, args []string) error {
		if len(args) == 0 {
			return requestAndPrint(cmd, *addr, http.MethodGet, "/ops/status", nil)
		}
		if !api.ValidID(args[0]) {
			return fmt.Errorf("%q is not a valid job id", args[0])
		}
		return requestAndPrint(cmd, *addr, http.MethodGet, "/work/"+args[0], nil)
	}
	return cmd
}

func goneCommand() *cobra.Command {
	cmd := &cobra.Command{
		Use:   "gone CONTROLLER",
		Short: "Declares that a configured controller will not return",
		Long: `Declares that a configured controller will not return, so that it no longer holds
any feature back (docs/upgrade.md). If it does return with an older version of
the program, it exits at its start if that version does not support the features
that are on by then. A controller that never stopped and is only cut off does not
learn of the declaration before it reaches the state service again.`,
		Args: cobra.ExactArgs(1),
	}
	addr := addrFlag(cmd)
	back := cmd.Flags().Bool("back", false, "revoke the declaration: the controller may return")
	cmd.RunE = func(cmd *cobra.Command, args []string) error {
		if !api.ValidID(args[0]) {
			return fmt.Errorf("%q is not a valid controller name", args[0])
		}
		method := http.MethodPost
		if *back {
			method = http.MethodDelete
		}
		return requestAndPrint(cmd, *addr, method, "/ops/gone/"+args[0], []byte(emptyBody))
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
			return fmt.Errorf("%q is not a valid job id", args[0])
		}
		return requestAndPrint(cmd, *addr, http.MethodPost, "/work/"+args[0]+"/withdraw", []byte(emptyBody))
	}
	return cmd
}
