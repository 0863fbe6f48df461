package command

import (
	"fmt"
	"os/signal"
	"syscall"

	"github.com/spf13/cobra"

	"github.com/greengagestep/greengagestep/internal/event"
	"github.com/greengagestep/greengagestep/platform"
)

func newServe() *cobra.Command {
	level := string(event.LevelInfo)
	cmd := &cobra.Command{
		Use:   "serve",
		Short: "Run one entry instance on the users' platform until SIGTERM, then stop gracefully",
		Long: `Run one entry instance on the users' platform until SIGTERM, then stop gracefully.

The platform names the settings file in the environment. At log level debug the instance also
logs each request that was served or refused for lack of capacity.`,
		Args: cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			if level != string(event.LevelInfo) && level != string(event.LevelDebug) {
				return withExitCode(exitUsage, fmt.Errorf("unknown log level %q: info and debug are possible", level))
			}
			// SIGHUP signals that the settings file has changed. Until the file is
			// watched, the signal must not end the process.
			signal.Ignore(syscall.SIGHUP)
			ctx, stop := signal.NotifyContext(cmd.Context(), syscall.SIGTERM, syscall.SIGINT)
			defer stop()
			log := event.New(cmd.OutOrStdout())
			log.Level = event.Level(level)
			if err := platform.Run(ctx, log); err != nil {
				return withExitCode(exitFailed, err)
			}
			return nil
		},
	}
	cmd.Flags().StringVar(&level, "log-level", level, "lowest level of the lines that are logged: info or debug")
	return cmd
}
