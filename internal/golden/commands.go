package golden

import (
	"fmt"
	"strings"

	"github.com/spf13/cobra"
)

// Commands lists a command, its subcommands and their flags with the types of their values.
// It omits defaults and help texts, because some depend on the machine.
func Commands(command *cobra.Command) string {
	var b strings.Builder
	fmt.Fprintf(&b, "%s\n", command.CommandPath())
	writeFlags(&b, "", command.LocalNonPersistentFlags().FlagUsages())
	writeFlags(&b, "persistent ", command.PersistentFlags().FlagUsages())
	for _, subcommand := range command.Commands() {
		b.WriteString(Commands(subcommand))
	}
	return b.String()
}

// writeFlags writes a line for each flag in a usage text. Three spaces separate a flag's
// name and type from its description.
func writeFlags(b *strings.Builder, kind, usages string) {
	for usage := range strings.Lines(usages) {
		flag, _, _ := strings.Cut(strings.TrimSpace(usage), "   ")
		fmt.Fprintf(b, "  %s%s\n", kind, flag)
	}
}
