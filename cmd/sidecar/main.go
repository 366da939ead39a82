// Command sidecar runs one sidecar: it accepts the requests of the application beside it and forwards them to the endpoints
// that discovery lists.
//
// It takes no flags. It reads these environment variables:
//
//   - BALANCER_CONFIG: the path of the configuration file; must be set;
//   - BALANCER_LOG: "json" for log lines in JSON; any other value gives text;
//   - BALANCER_OPS and BALANCER_STATE: the address for operators' calls and the folder of the state file; they override
//     the configuration file.
//
// SIGHUP makes it read the configuration file again. SIGTERM and SIGINT make it shut down gracefully. It logs to standard
// error. The exit code is 0 after a graceful shutdown and 1 if the sidecar cannot start or run; in that case the last line
// on standard error gives the reason.
package main

import (
	"context"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"os"
	"os/signal"
	"syscall"
	"time"

	"bramblestand/internal/config"
	"bramblestand/internal/logwriter"
	"bramblestand/internal/sidecar"
)

// Environment variables.
const (
	configPathVariable = "BALANCER_CONFIG"
	logFormatVariable  = "BALANCER_LOG"
)

// logFormatJSON is the value of logFormatVariable for log lines in JSON. The lab merges log lines in this format.
const logFormatJSON = "json"

var errNoConfigPath = errors.New("environment: " + configPathVariable + " is not set")

// Limits of the log.
const (
	maxQueuedLog       = 256 << 10              // bytes that wait to be read; further lines are dropped
	logFlushTime       = 200 * time.Millisecond // how long the end of the process waits for the reader
	droppedLogInterval = time.Second            // between reports of dropped lines
)

func main() {
	output := logwriter.New(os.Stderr, maxQueuedLog)
	err := run(output)
	if err != nil {
		fmt.Fprintln(output, "sidecar:", err)
	}
	output.Flush(logFlushTime)
	if err != nil {
		os.Exit(1)
	}
}

// run runs the sidecar until a signal ends it or it fails.
func run(logOutput *logwriter.Writer) error {
	// This comes first, because a SIGHUP without a handler ends the process.
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
	log := newLogger(logOutput).With("sidecar", cfg.Name)
	go reportDroppedLines(ctx, logOutput, log)
	reloads := make(chan *config.Config)
	go reloadOnHangup(ctx, configPath, hangups, reloads, log)
	return sidecar.Run(ctx, cfg, reloads, log)
}

// newLogger returns a logger that writes to output, in the format that the environment selects.
func newLogger(output io.Writer) *slog.Logger {
	if os.Getenv(logFormatVariable) == logFormatJSON {
		return slog.New(slog.NewJSONHandler(output, nil))
	}
	return slog.New(slog.NewTextHandler(output, nil))
}

// reportDroppedLines logs how many lines were dropped, each time that more were, until ctx ends.
func reportDroppedLines(ctx context.Context, output *logwriter.Writer, log *slog.Logger) {
	ticker := time.NewTicker(droppedLogInterval)
	defer ticker.Stop()
	for reported := 0; ; {
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return
		}
		if dropped := output.Dropped(); dropped != reported {
			reported = dropped
			log.Warn("log lines dropped, the log is not read fast enough", "dropped", dropped)
		}
	}
}

// reloadOnHangup reads the configuration again on each SIGHUP and sends it to reloads, until ctx ends. If the new
// configuration is not valid, it logs the error and the old one stays in force.
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
