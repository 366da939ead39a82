// Command sidecar is one sidecar: it takes the requests of the application
// beside it and passes them on to endpoints that discovery names. The file at
// $BALANCER_CONFIG tells it all it has to know.
package main

import (
	"context"
	"fmt"
	"log/slog"
	"os"
	"os/signal"
	"syscall"

	"bramblestand/internal/sidecar"
)

func main() {
	if err := run(); err != nil {
		fmt.Fprintln(os.Stderr, "sidecar:", err)
		os.Exit(1)
	}
}

func run() error {
	// Before all else: a signal that comes early must not end the process.
	hangups := make(chan os.Signal, 1)
	signal.Notify(hangups, syscall.SIGHUP)
	path := os.Getenv("BALANCER_CONFIG")
	if path == "" {
		return fmt.Errorf("environment: BALANCER_CONFIG is not set")
	}
	cfg, err := sidecar.LoadConfig(path)
	if err != nil {
		return fmt.Errorf("configuration: %w", err)
	}
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	var handler slog.Handler = slog.NewTextHandler(os.Stderr, nil)
	if os.Getenv("BALANCER_LOG") == "json" { // as the lab merges logs; text otherwise
		handler = slog.NewJSONHandler(os.Stderr, nil)
	}
	log := slog.New(handler).With("sidecar", cfg.Name)
	reloads := make(chan *sidecar.Config)
	go reload(ctx, path, hangups, reloads, log)
	return sidecar.Run(ctx, cfg, reloads, log)
}

// reload reads the configuration anew at each SIGHUP. One that cannot be used is
// logged, and the old one stays.
func reload(ctx context.Context, path string, hangups <-chan os.Signal, reloads chan<- *sidecar.Config, log *slog.Logger) {
	for {
		select {
		case <-hangups:
		case <-ctx.Done():
			return
		}
		cfg, err := sidecar.LoadConfig(path)
		if err != nil {
			log.Error("the configuration cannot be reloaded", "error", err)
			continue
		}
		select {
		case reloads <- cfg:
		case <-ctx.Done():
			return
		}
	}
}
