// Package service provides the services that instances run under a suture supervisor: HTTP
// servers and periodic loops.
package service

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"time"

	"github.com/thejerf/suture/v4"
	"go.uber.org/zap"

	"github.com/greengagestep/greengagestep/internal/event"
)

// Server runs an HTTP server as a supervised service. It implements suture.Service.
type Server struct {
	Listener net.Listener
	HTTP     *http.Server
}

// Serve implements suture.Service. It is not restarted after the server was shut down. It
// terminates the whole supervisor tree if the listener fails, because the listener cannot
// be reopened.
func (s *Server) Serve(ctx context.Context) error {
	stop := context.AfterFunc(ctx, func() { _ = s.HTTP.Close() })
	defer stop()
	err := s.HTTP.Serve(s.Listener)
	switch {
	case ctx.Err() != nil:
		return ctx.Err()
	case errors.Is(err, http.ErrServerClosed):
		return suture.ErrDoNotRestart
	}
	return fmt.Errorf("%w: %w", suture.ErrTerminateSupervisorTree, err)
}

// Go runs a function in a goroutine of its own. A panic ends only that function and is logged:
// an unexpected error in one message or request must not end the process.
func Go(logger *zap.Logger, name string, run func()) {
	go func() {
		defer recoverPanic(logger, name)
		run()
	}()
}

func recoverPanic(logger *zap.Logger, name string) {
	if reason := recover(); reason != nil {
		logger.Error(event.Panic, zap.String("task", name), zap.Any("reason", reason), zap.Stack("stack"))
	}
}

// Loop calls a function immediately and then at intervals. It implements suture.Service.
type Loop struct {
	Name     string
	Interval time.Duration
	Run      func(ctx context.Context)
}

// String returns the name under which the supervisor's events report the loop.
func (l *Loop) String() string { return l.Name }

// Serve implements suture.Service.
func (l *Loop) Serve(ctx context.Context) error {
	t := time.NewTicker(l.Interval)
	defer t.Stop()
	for {
		l.Run(ctx)
		select {
		case <-t.C:
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}
