// Command zinclb is a cluster scheduler: with --config it runs a controller,
// and its subcommands check settings and speak to a running one.
package main

import (
	"context"
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
	var path, operators string
	cmd := &cobra.Command{
		Use:           "zinclb --config FILE",
		Short:         "Runs a controller of the zinclb cluster scheduler",
		SilenceUsage:  true,
		SilenceErrors: true,
		Args:          cobra.NoArgs,
		RunE: func(*cobra.Command, []string) error {
			p, ops, err := loadSettings(path, operators)
			if err != nil {
				return err
			}
			setupLogging(p.Name)
			// A controller serves until it is killed: the context never ends.
			return node.New(p, ops).Run(context.Background())
		},
	}
	cmd.PersistentFlags().StringVar(&path, "config", "", "the platform's settings, a JSON file")
	cmd.PersistentFlags().StringVar(&operators, "operators", "", "the operators' settings, protobuf text format")
	cmd.AddCommand(checkConfigCommand(&path, &operators), versionCommand(), submitCommand(), statusCommand(), cancelCommand(), goneCommand(), sweepCommands())
	return cmd
}

func loadSettings(path, operators string) (*config.Platform, config.Operators, error) {
	if path == "" {
		return nil, config.Operators{}, fmt.Errorf("--config is missing; it names the platform's settings file")
	}
	p, err := config.Load(path)
	if err != nil {
		return nil, config.Operators{}, err
	}
	ops, err := config.LoadOperators(operators)
	return p, ops, err
}

func setupLogging(name string) {
	level := slog.LevelInfo
	switch os.Getenv("LOG_LEVEL") {
	case "error":
		level = slog.LevelError
	case "debug":
		level = slog.LevelDebug
	}
	o := &slog.HandlerOptions{Level: level}
	var h slog.Handler = slog.NewTextHandler(os.Stderr, o)
	if os.Getenv("LOG_FORMAT") == "json" {
		h = slog.NewJSONHandler(os.Stderr, o)
	}
	slog.SetDefault(slog.New(h).With("node", name))
}
