package command

import (
	"os/signal"
	"syscall"

	"github.com/spf13/cobra"

	"github.com/greengagestep/greengagestep/internal/event"
	"github.com/greengagestep/greengagestep/platform"
)

func newServe() *cobra.Command {
	return &cobra.Command{
		Use:   "serve",
		Short: "Run one entry instance on the users' platform until SIGTERM, then stop gracefully",
		Long: `Run one entry instance on the users' platform until SIGTERM, then stop gracefully.

The platform names the settings file in the environment.`,
		Args: cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			// SIGHUP signals that the settings file has changed. Until the file is
			// watched, the signal must not end the process.
			signal.Ignore(syscall.SIGHUP)
			ctx, stop := signal.NotifyContext(cmd.Context(), syscall.SIGTERM, syscall.SIGINT)
			defer stop()
			if err := platform.Run(ctx, event.New(cmd.OutOrStdout())); err != nil {
				return withExitCode(exitFailed, err)
			}
			return nil
		},
	}
}
