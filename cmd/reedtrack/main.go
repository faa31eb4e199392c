// Command reedtrack schedules jobs on rented machines. It is both the controller, a daemon
// of which a deployment runs several replicas, and the client with which users submit,
// watch and cancel jobs.
//
// Each subcommand is in a separate file. The default subcommand is the daemon.
package main

import (
	"errors"
	"fmt"
	"os"

	"github.com/alecthomas/kong"

	"reedtrack/internal/config"
	"reedtrack/internal/transport"
)

// commands defines the subcommands. A `name` tag is given where the name differs from the
// field name.
type commands struct {
	Daemon    daemonCmd  `cmd:"" default:"withargs" help:"Run a controller (the default)."`
	Check     checkCmd   `cmd:"" help:"Check settings and print what follows from them."`
	Submit    submitCmd  `cmd:"" help:"Submit a job."`
	Status    statusCmd  `cmd:"" help:"Tell a job's status."`
	Cancel    cancelCmd  `cmd:"" name:"withdraw" help:"Cancel a job."`
	Logs      outputsCmd `cmd:"" passthrough:"" help:"Show what a task has written, or list the attempts of a job."`
	Artefacts outputsCmd `cmd:"" passthrough:"" help:"List the files that tasks have left."`
	Fetch     outputsCmd `cmd:"" passthrough:"" help:"Fetch a file that a task has left."`
	Demo      demoCmd    `cmd:"" help:"Try it all out on this machine: stand-ins, three controllers, two stores, some jobs."`
	Version   versionCmd `cmd:"" help:"Print the version."`
}

// Exit codes.
const (
	exitFailed   = 1 // request refused by the service, or another failure
	exitUsage    = 2 // invalid arguments or settings
	exitNoAnswer = 3 // no controller gave a final response in time
)

func main() {
	var c commands
	parser := kong.Must(&c, kong.Name("reedtrack"), kong.Description(
		"A cluster scheduler for rented machines. Exit status: 0 done, 1 refused or failed, 2 bad arguments or settings, 3 no final answer in time."))
	ctx, err := parser.Parse(os.Args[1:])
	if err != nil {
		exit(err, exitUsage)
	}
	if err := ctx.Run(); err != nil {
		exit(err, exitCode(err))
	}
}

// exit prints an error and exits with the given code.
func exit(err error, code int) {
	fmt.Fprintln(os.Stderr, "reedtrack:", err)
	os.Exit(code)
}

// usageError is an error that the caller can correct: an invalid argument or file, or a
// missing precondition on the machine, such as a free port.
type usageError struct{ error }

// exitCode returns the exit code for an error of a command.
func exitCode(err error) int {
	var usage usageError
	var field *config.FieldError
	var refused *transport.RefusedError
	switch {
	case errors.As(err, &field), errors.As(err, &usage):
		return exitUsage
	case errors.As(err, &refused):
		return exitFailed
	case errors.Is(err, transport.ErrRetriesExhausted):
		return exitNoAnswer
	}
	return exitFailed
}
