package command

import (
	"context"
	"net"
	"os/signal"
	"syscall"

	"github.com/spf13/cobra"
	"go.uber.org/zap"

	"github.com/greengagestep/greengagestep/internal/logclient"
	"github.com/greengagestep/greengagestep/internal/router"
	"github.com/greengagestep/greengagestep/internal/setting"
)

func newRun() *cobra.Command {
	s := &setting.Settings{}
	cmd := &cobra.Command{
		Use:   "run",
		Short: "Run one router instance until SIGTERM or SIGINT, then stop gracefully",
		Long: `Run one router instance until SIGTERM or SIGINT, then stop gracefully.

Every flag is also an environment variable; a flag goes first. The secret that
peers and operators share is read from GREENGAGESTEP_SECRET only. Durations are
written like 90s or 10m, memory in bytes.`,
		Args: cobra.NoArgs,
	}
	s.AddFlags(cmd.Flags())
	cmd.RunE = func(cmd *cobra.Command, _ []string) error {
		if err := s.Load(cmd.Flags()); err != nil {
			return withExitCode(exitUsage, err)
		}
		ctx, stop := signal.NotifyContext(cmd.Context(), syscall.SIGTERM, syscall.SIGINT)
		defer stop()
		return runRouter(ctx, s)
	}
	return cmd
}

func runRouter(ctx context.Context, s *setting.Settings) error {
	logger, err := newLogger()
	if err != nil {
		return withExitCode(exitUsage, err)
	}
	r := &router.Router{
		Name: s.Name, Domain: s.Domain, Advertise: s.Advertise, Secret: s.Secret,
		Log: &logclient.Log{URL: s.LogURL}, List: &logclient.List{URL: s.InstanceListURL},
		Drain: s.DrainTimeout, Retention: s.Retention, Memory: s.MaxWaitingBytes,
		Logger: logger.With(zap.String("instance", s.Name)),
	}
	for _, l := range []struct {
		address string
		to      *net.Listener
	}{{s.Callers, &r.Callers}, {s.Peers, &r.Peers}, {s.Operators, &r.Operators}} {
		listener, err := net.Listen("tcp", l.address)
		if err != nil {
			return withExitCode(exitUsage, err)
		}
		*l.to = listener
	}
	logger.Info("listening",
		zap.String("callers", r.Callers.Addr().String()),
		zap.String("peers", r.Peers.Addr().String()),
		zap.String("operators", r.Operators.Addr().String()))
	if err := r.Run(ctx); err != nil {
		return withExitCode(exitFailed, err)
	}
	return nil
}

func newLogger() (*zap.Logger, error) {
	conf := zap.NewProductionConfig()
	conf.Sampling = nil
	conf.DisableStacktrace = true
	conf.EncoderConfig.TimeKey = "time"
	conf.EncoderConfig.EncodeTime = encodeTimeRFC3339
	return conf.Build()
}
