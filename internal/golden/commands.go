package golden

import (
	"fmt"
	"strings"

	"github.com/spf13/cobra"
)

// Commands lists a command, those below it and their flags, with what these take.
// Defaults and help texts are left out: some depend on the machine.
func Commands(command *cobra.Command) string {
	var b strings.Builder
	fmt.Fprintf(&b, "%s\n", command.CommandPath())
	writeFlags(&b, "", command.LocalNonPersistentFlags().FlagUsages())
	writeFlags(&b, "persistent ", command.PersistentFlags().FlagUsages())
	for _, below := range command.Commands() {
		b.WriteString(Commands(below))
	}
	return b.String()
}

// writeFlags writes a line for each flag of a usage text: its name and type stand
// before three spaces.
func writeFlags(b *strings.Builder, kind, usages string) {
	for usage := range strings.Lines(usages) {
		flag, _, _ := strings.Cut(strings.TrimSpace(usage), "   ")
		fmt.Fprintf(b, "  %s%s\n", kind, flag)
	}
}
