package main

import (
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"syscall"

	"github.com/alecthomas/kong"
)

// outputsCmd is a command of the program that reads task outputs, which is built
// from cmd/outputs. It is one of its own so that a controller, which is this
// program too, starts as fast and as small as without it.
type outputsCmd struct {
	Args []string `arg:"" optional:""`
}

// Run becomes the other program.
func (c *outputsCmd) Run(ctx *kong.Context) error {
	path, err := beside("outputs")
	if err != nil {
		return errUsage{err}
	}
	name := ctx.Selected().Name
	return syscall.Exec(path, append([]string{"reedtrack", name}, c.Args...), os.Environ())
}

// beside finds another of the project's programs: where this one stands, or in
// PATH.
func beside(name string) (string, error) {
	if self, err := os.Executable(); err == nil {
		path := filepath.Join(filepath.Dir(self), name)
		if st, err := os.Stat(path); err == nil && st.Mode().IsRegular() && st.Mode().Perm()&0o111 != 0 {
			return path, nil
		}
	}
	path, err := exec.LookPath("reedtrack-" + name)
	if err != nil {
		return "", fmt.Errorf("the program %s is not beside this one, and no reedtrack-%s is in PATH; go build -o target/%s ./cmd/%s makes it", name, name, name, name)
	}
	return path, nil
}
