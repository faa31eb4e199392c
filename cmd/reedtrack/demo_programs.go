package main

import (
	"bytes"
	"errors"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
)

// otherPrograms are the other programs that the demo needs.
var otherPrograms = []string{"standin", "outputs", "capture"}

// findDemoPrograms returns the paths of all programs of the demo by name. Unless all other
// programs are installed, it builds all of them, including this one, from the sources in
// the working directory.
func findDemoPrograms() (map[string]string, error) {
	self, err := os.Executable()
	if err != nil {
		return nil, err
	}
	programs := map[string]string{"reedtrack": self}
	for _, name := range otherPrograms {
		if path, err := findProgram(name); err == nil {
			programs[name] = path
		}
	}
	if len(programs) == len(otherPrograms)+1 {
		return programs, nil
	}
	if !inSourceTree() {
		return nil, errors.New("programs standin, outputs and capture not found in the directory of this program or in PATH; build them there, or run the demo in the root of the source tree")
	}
	return buildDemoPrograms()
}

// inSourceTree reports whether the working directory is the root of the source tree.
func inSourceTree() bool {
	raw, err := os.ReadFile("go.mod")
	return err == nil && bytes.HasPrefix(raw, []byte("module reedtrack\n"))
}

// buildDemoPrograms builds all programs into target/ and returns their paths by name.
func buildDemoPrograms() (map[string]string, error) {
	fmt.Println("building into target/ (half a minute the first time)")
	programs := map[string]string{}
	for _, name := range append(slices.Clone(otherPrograms), "reedtrack") {
		path, err := filepath.Abs(filepath.Join("target", name))
		if err != nil {
			return nil, err
		}
		cmd := exec.Command("go", "build", "-o", path, "./cmd/"+name)
		cmd.Stdout, cmd.Stderr = os.Stdout, os.Stderr
		if err := cmd.Run(); err != nil {
			return nil, fmt.Errorf("build of %s: %w", name, err)
		}
		programs[name] = path
	}
	return programs, nil
}
