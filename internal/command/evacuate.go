package command

import (
	"io"

	"github.com/spf13/cobra"
)

func (p *Program) newEvacuate() *cobra.Command {
	c := &instanceFlags{transport: p.Transport}
	var actor string
	var end bool
	cmd := &cobra.Command{
		Use:   "evacuate DOMAIN",
		Short: "Send no new requests to the endpoints of a failure domain, or end that",
		Long: `Send no new requests to the endpoints of a failure domain, or end that.

What runs there goes on. It is a new version of the configuration in force, whose
text lists the domain under evacuated. If another version is published meanwhile,
nothing changes: repeat the command.`,
		Args: cobra.ExactArgs(1),
	}
	c.addFlags(cmd)
	cmd.Flags().BoolVar(&end, "end", false, "take the domain back")
	cmd.Flags().StringVar(&actor, "actor", "", "who asks for it, for the audit trail; empty means the user's name")
	cmd.RunE = func(cmd *cobra.Command, args []string) error {
		client, err := c.client()
		if err != nil {
			return err
		}
		published, err := client.Evacuate(cmd.Context(), actorOrUser(actor), args[0], !end)
		if err != nil {
			return wrapCallError(err)
		}
		return c.print(cmd.OutOrStdout(), published, func(w io.Writer) { printPublished(w, published) })
	}
	return cmd
}
