// Command sidecar runs one sidecar: it takes the requests of the application beside it and forwards them to the endpoints
// that discovery names.
//
// It takes no flags. The environment tells it:
//
//   - BALANCER_CONFIG: the path of the configuration file; must be set;
//   - BALANCER_LOG: "json" for log lines in JSON, else they are text;
//   - BALANCER_OPS and BALANCER_STATE: the address of the operators' calls and the folder of the state file, in place of
//     the configuration's.
//
// SIGHUP makes it read the configuration file again. SIGTERM and SIGINT make it shut down gracefully. The log goes to
// standard error. The exit code is 0 after a graceful shutdown and 1 if the sidecar cannot start or run; the reason is
// then the last line on standard error.
package main

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"os"
	"os/signal"
	"syscall"

	"bramblestand/internal/config"
	"bramblestand/internal/sidecar"
)

// Variables of the environment.
const (
	configPathVariable = "BALANCER_CONFIG"
	logFormatVariable  = "BALANCER_LOG"
)

// logFormatJSON is the value of logFormatVariable for log lines in JSON, as the lab merges them.
const logFormatJSON = "json"

var errNoConfigPath = errors.New("environment: " + configPathVariable + " is not set")

func main() {
	if err := run(); err != nil {
		fmt.Fprintln(os.Stderr, "sidecar:", err)
		os.Exit(1)
	}
}

// run runs the sidecar until a signal ends it.
func run() error {
	// Before all else: a SIGHUP that comes early must not end the process.
	hangups := make(chan os.Signal, 1)
	signal.Notify(hangups, syscall.SIGHUP)
	configPath := os.Getenv(configPathVariable)
	if configPath == "" {
		return errNoConfigPath
	}
	cfg, err := config.Load(configPath)
	if err != nil {
		return fmt.Errorf("configuration: %w", err)
	}
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	log := newLogger().With("sidecar", cfg.Name)
	reloads := make(chan *config.Config)
	go reloadOnHangup(ctx, configPath, hangups, reloads, log)
	return sidecar.Run(ctx, cfg, reloads, log)
}

// newLogger returns a logger to standard error in the format that the environment asks for.
func newLogger() *slog.Logger {
	if os.Getenv(logFormatVariable) == logFormatJSON {
		return slog.New(slog.NewJSONHandler(os.Stderr, nil))
	}
	return slog.New(slog.NewTextHandler(os.Stderr, nil))
}

// reloadOnHangup reads the configuration again at each SIGHUP and sends it to reloads, until ctx ends. One that cannot be
// used is logged, and the old one stays in force.
func reloadOnHangup(ctx context.Context, path string, hangups <-chan os.Signal, reloads chan<- *config.Config, log *slog.Logger) {
	for {
		select {
		case <-hangups:
		case <-ctx.Done():
			return
		}
		cfg, err := config.Load(path)
		if err != nil {
			log.Error("configuration not reloaded; the old one stays in force", "error", err)
			continue
		}
		select {
		case reloads <- cfg:
		case <-ctx.Done():
			return
		}
	}
}
