package main

import (
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"syscall"

	"github.com/alecthomas/kong"
)

// outputsCmd is a subcommand that is implemented by the program cmd/outputs, which reads
// the outputs of tasks. It is a separate program so that the controller, which is part of
// this program, starts quickly and stays small.
type outputsCmd struct {
	Args []string `arg:"" name:"args" optional:""`
}

// Run replaces this process with the program outputs.
func (c *outputsCmd) Run(ctx *kong.Context) error {
	path, err := findProgram("outputs")
	if err != nil {
		return usageError{err}
	}
	return syscall.Exec(path, append([]string{"reedtrack", ctx.Selected().Name}, c.Args...), os.Environ())
}

// findProgram returns the path of another program of the project, which is either NAME in
// the directory of this program or reedtrack-NAME in PATH.
func findProgram(name string) (string, error) {
	if self, err := os.Executable(); err == nil {
		path := filepath.Join(filepath.Dir(self), name)
		if info, err := os.Stat(path); err == nil && isExecutable(info.Mode()) {
			return path, nil
		}
	}
	path, err := exec.LookPath("reedtrack-" + name)
	if err != nil {
		return "", fmt.Errorf("program %s not found in the directory of this program, nor reedtrack-%s in PATH; build it with go build -o target/%s ./cmd/%s", name, name, name, name)
	}
	return path, nil
}

// isExecutable reports whether a mode is that of a regular file with an execute permission.
func isExecutable(mode os.FileMode) bool {
	const anyExecute = 0o111
	return mode.IsRegular() && mode.Perm()&anyExecute != 0
}
