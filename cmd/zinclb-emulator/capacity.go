package main

import (
	"errors"
	"fmt"

	"github.com/spf13/cobra"

	"github.com/zinclb/zinclb/internal/emulator/capacity"
)

// capacityCommand remakes the tables of the capacity page from the runs that are kept.
func capacityCommand() *cobra.Command {
	var page, figures string
	var check bool
	cmd := &cobra.Command{
		Use:   "capacity",
		Short: "Remakes the tables of docs/CAPACITY.md from the figures of scale runs",
		Args:  cobra.NoArgs,
		RunE: func(*cobra.Command, []string) error {
			changed, err := capacity.UpdatePage(page, figures, check)
			switch {
			case err != nil:
				return err
			case changed && check:
				return errors.New("the page is not what the runs give: run zinclb-emulator capacity")
			case changed:
				fmt.Println(page, "was remade")
			default:
				fmt.Println(page, "is as the runs give it")
			}
			return nil
		},
	}
	cmd.Flags().StringVar(&page, "page", "docs/CAPACITY.md", "the page")
	cmd.Flags().StringVar(&figures, "figures", "docs/capacity", "the directory with files of figures")
	cmd.Flags().BoolVar(&check, "check", false, "only say whether the page would change")
	return cmd
}
