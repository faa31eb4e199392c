// Command outputs runs a store of task outputs and reads from running stores.
//
// A store keeps the standard output, standard error and artefacts of tasks, which
// captures on the workers send to it. Stores replicate to each other and act as a
// single one to clients; docs/outputs-operations.md describes how to run them. serve
// runs a store; check, token and verify are for its operator.
//
// logs, artefacts and fetch read from running stores. The program reedtrack executes
// this one for its commands with these names.
package main

import (
	"errors"
	"fmt"
	"os"
	"path/filepath"

	"connectrpc.com/connect"
	"github.com/alecthomas/kong"

	"reedtrack/internal/config"
	"reedtrack/internal/outputs/client"
)

// Exit statuses; they are documented in description.
const (
	exitFailed      = 1
	exitUsage       = 2
	exitUnavailable = 3
)

const description = "A store of task outputs, and its reader. Exit status: 0 done, 1 failed or not all to be had, 2 bad arguments or settings, 3 no store answered."

// cli defines the command line: each field is a command of the same name.
type cli struct {
	Serve  serveCmd  `cmd:"" help:"Run a store."`
	Check  checkCmd  `cmd:"" help:"Check settings and print what follows from them."`
	Token  tokenCmd  `cmd:"" help:"Make a token, and what the settings keep of it."`
	Verify verifyCmd `cmd:"" help:"Read everything that a stopped store keeps, and say what is damaged."`

	Logs      logsCmd      `cmd:"" help:"Show what a task has written, or list the attempts of a job."`
	Artefacts artefactsCmd `cmd:"" help:"List the files that tasks have left."`
	Fetch     fetchCmd     `cmd:"" help:"Fetch a file that a task has left."`
}

func main() {
	var c cli
	name := filepath.Base(os.Args[0]) // reedtrack, if that program has executed this one
	parser := kong.Must(&c, kong.Name(name), kong.Description(description))
	ctx, err := parser.Parse(os.Args[1:])
	if err != nil {
		fmt.Fprintf(os.Stderr, "%s: %v\n", name, err)
		os.Exit(exitUsage)
	}
	if err = ctx.Run(); err != nil {
		fmt.Fprintf(os.Stderr, "%s: %v\n", name, withoutCode(err))
		os.Exit(exitStatus(err))
	}
}

// usageError marks an error as caused by invalid arguments.
type usageError struct{ error }

func exitStatus(err error) int {
	var field *config.FieldError
	var usage usageError
	switch {
	case errors.As(err, &field), errors.As(err, &usage):
		return exitUsage
	case errors.Is(err, client.ErrUnavailable):
		return exitUnavailable
	}
	return exitFailed
}

// withoutCode removes the error code from a store's error, since it is of no use to
// people.
func withoutCode(err error) error {
	var connectErr *connect.Error
	if errors.As(err, &connectErr) && !errors.Is(err, client.ErrUnavailable) {
		return errors.New(connectErr.Message())
	}
	return err
}
