// Command zinclb is a cluster scheduler. With --config it runs a controller. Its subcommands
// check settings and send requests to a running controller.
package main

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"os"

	"github.com/spf13/cobra"

	"github.com/zinclb/zinclb/internal/config"
	"github.com/zinclb/zinclb/internal/node"
)

func main() {
	if err := rootCommand().Execute(); err != nil {
		fmt.Fprintln(os.Stderr, "zinclb:", err)
		os.Exit(1)
	}
}

func rootCommand() *cobra.Command {
	var path, operatorsPath string
	cmd := &cobra.Command{
		Use:           "zinclb --config FILE",
		Short:         "Runs a controller of the zinclb cluster scheduler",
		SilenceUsage:  true,
		SilenceErrors: true,
		Args:          cobra.NoArgs,
		RunE: func(*cobra.Command, []string) error {
			platform, operators, err := loadSettings(path, operatorsPath)
			if err != nil {
				return err
			}
			setupLogging(platform.Name)
			// A controller serves until it is killed, so the context is never cancelled.
			return node.New(platform, operators).Run(context.Background())
		},
	}
	cmd.PersistentFlags().StringVar(&path, "config", "", "the platform's settings, a JSON file")
	cmd.PersistentFlags().StringVar(&operatorsPath, "operators", "", "the operators' settings, protobuf text format")
	cmd.AddCommand(
		checkConfigCommand(&path, &operatorsPath),
		versionCommand(),
		submitCommand(),
		statusCommand(),
		cancelCommand(),
		goneCommand(),
		sweepCommands(),
	)
	return cmd
}

// errNoConfig is the error for a missing --config.
var errNoConfig = errors.New("--config is missing; it names the platform's settings file")

// loadSettings reads the platform's settings, which are required, and the operators', whose
// path may be empty.
func loadSettings(path, operatorsPath string) (*config.Platform, config.Operators, error) {
	if path == "" {
		return nil, config.Operators{}, errNoConfig
	}
	platform, err := config.Load(path)
	if err != nil {
		return nil, config.Operators{}, err
	}
	operators, err := config.LoadOperators(operatorsPath)
	return platform, operators, err
}

// setupLogging sets up the default logger: it adds the controller's name to each line, and
// takes the level and the format from the environment variables LOG_LEVEL and LOG_FORMAT.
func setupLogging(controller string) {
	options := &slog.HandlerOptions{Level: logLevel(os.Getenv("LOG_LEVEL"))}
	var handler slog.Handler = slog.NewTextHandler(os.Stderr, options)
	if os.Getenv("LOG_FORMAT") == "json" {
		handler = slog.NewJSONHandler(os.Stderr, options)
	}
	slog.SetDefault(slog.New(handler).With("controller", controller))
}

// logLevel returns the lowest level that is logged, which is info for an unknown name.
func logLevel(name string) slog.Level {
	switch name {
	case "error":
		return slog.LevelError
	case "debug":
		return slog.LevelDebug
	default:
		return slog.LevelInfo
	}
}
