// Command capture runs the command of a task on a worker and captures its output.
//
// The command's standard output and error, and at its end the files that match the
// given patterns, are written to a spool on the machine and shipped from there to the
// stores of outputs. An unavailable or slow store delays the task for a bounded time
// only. The command's exit status is passed on unchanged, even if output is lost.
//
// A capture that is killed leaves its spool behind; capture --recover ships it.
package main

import (
	"context"
	"fmt"
	"log/slog"
	"os"
	"syscall"
	"time"

	"github.com/alecthomas/kong"
	"golang.org/x/sys/unix"

	"reedtrack/internal/outputs/access"
	"reedtrack/internal/outputs/capture"
	"reedtrack/internal/outputs/client"
	"reedtrack/internal/outputs/tracing"
)

const (
	// tokenVariable is the environment variable with the token, used if there is no
	// token file.
	tokenVariable = "REEDTRACK_TOKEN"
	// serviceName is the service name of this program in traces.
	serviceName = "reedtrack-capture"
	// recoverTimeout is the time limit of --recover, which runs at each start of a
	// machine and of a worker. The rest is left to the next run.
	recoverTimeout = 10 * time.Minute

	exitRecoverFailed = 1
	exitUsage         = 2
)

func main() {
	var c cli
	parser := kong.Must(&c, kong.Name("capture"), kong.Description(description))
	if _, err := parser.Parse(os.Args[1:]); err != nil {
		exitWithUsage(err)
	}
	slog.SetDefault(slog.New(slog.NewTextHandler(os.Stderr, &slog.HandlerOptions{Level: slog.LevelWarn})))
	token, err := c.token()
	if err != nil {
		exitWithUsage(err)
	}
	interceptors, stopTraces, err := tracing.Start(context.Background(), c.Trace, serviceName, c.Job)
	if err != nil {
		exitWithUsage(err)
	}
	newClient := func() (*client.Client, error) { return client.New(c.Stores, token, c.CA, interceptors...) }
	stores, err := newClient()
	if err != nil {
		exitWithUsage(err)
	}
	if c.Recover != "" {
		status := c.recoverSpools(newClient)
		stopTraces()
		os.Exit(status)
	}
	if err := c.completeCommand(); err != nil {
		exitWithUsage(err)
	}
	status := c.runCommand(stores)
	stopTraces()
	if status.Signal != 0 {
		exitBySignal(status.Signal)
	}
	os.Exit(status.Exit)
}

// token returns the team's token, or an empty string to send none.
func (c *cli) token() (string, error) {
	if c.TokenFile != "" {
		return access.ReadTokenFile(c.TokenFile)
	}
	return os.Getenv(tokenVariable), nil
}

// runCommand runs the command and ships its output. Errors of that are only printed and
// don't change the status, which is the command's.
func (c *cli) runCommand(stores *client.Client) capture.Status {
	os.Unsetenv(tokenVariable) // the token is for this program, not for the task
	config := c.config()
	config.Stores = stores
	status, err := capture.Run(context.Background(), config)
	if err != nil {
		fmt.Fprintln(os.Stderr, "capture:", err)
	}
	return status
}

// recoverSpools ships the spools of killed captures and returns the exit status. It
// creates a separate client for each spool.
func (c *cli) recoverSpools(newClient func() (*client.Client, error)) int {
	ctx, cancel := context.WithTimeout(context.Background(), recoverTimeout)
	defer cancel()
	dial := func(*capture.AttemptInfo) (*client.Client, error) { return newClient() }
	shipped := 0
	report := func(name string, err error) {
		if err != nil {
			fmt.Fprintf(os.Stderr, "%s: %v\n", name, err)
			return
		}
		shipped++
		fmt.Printf("%s: shipped\n", name)
	}
	err := capture.Recover(ctx, c.Recover, dial, c.spoolBytes(), c.artefactBytes(), report)
	fmt.Printf("%d attempts shipped\n", shipped)
	if err != nil {
		return exitRecoverFailed
	}
	return 0
}

// exitBySignal terminates this process by the signal that terminated the command,
// without a second core dump. The Go runtime handles some signals itself, so it
// replaces this process with a shell, which has default signal handling, to raise it.
func exitBySignal(signal syscall.Signal) {
	unix.Setrlimit(unix.RLIMIT_CORE, &unix.Rlimit{})
	syscall.Exec("/bin/sh", []string{"sh", "-c", fmt.Sprintf("kill -%d $$", int(signal))}, nil)
}

func exitWithUsage(err error) {
	fmt.Fprintln(os.Stderr, "capture:", err)
	os.Exit(exitUsage)
}
