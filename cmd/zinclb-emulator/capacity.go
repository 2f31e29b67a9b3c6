package main

import (
	"errors"
	"fmt"

	"github.com/spf13/cobra"

	"github.com/zinclb/zinclb/internal/emulator/capacity"
)

// capacityCommand regenerates the tables of the capacity page from stored figures of scale runs.
func capacityCommand() *cobra.Command {
	var page, figures string
	var check bool
	cmd := &cobra.Command{
		Use:   "capacity",
		Short: "Regenerates the tables of docs/CAPACITY.md from the figures of scale runs",
		Args:  cobra.NoArgs,
		RunE: func(*cobra.Command, []string) error {
			changed, err := capacity.UpdatePage(page, figures, check)
			switch {
			case err != nil:
				return err
			case changed && check:
				return errors.New("the tables of the page are out of date: run zinclb-emulator capacity")
			case changed:
				fmt.Println(page, "was updated")
			default:
				fmt.Println(page, "is up to date")
			}
			return nil
		},
	}
	cmd.Flags().StringVar(&page, "page", "docs/CAPACITY.md", "page to update")
	cmd.Flags().StringVar(&figures, "figures", "docs/capacity", "directory with the files of figures")
	cmd.Flags().BoolVar(&check, "check", false, "fail if the page is out of date, without writing it")
	return cmd
}
