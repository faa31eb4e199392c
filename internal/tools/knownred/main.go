// Command knownred reads KNOWN-RED.txt, the list of tests that fail because of a bug that
// is not fixed yet, for .ci/run. `knownred skip` prints a pattern that skips only those
// tests, and `knownred exist` fails unless each of them is a test of this module.
package main

import (
	"errors"
	"fmt"
	"io/fs"
	"os"
)

// listName is the file name of the list, at the root of the module.
const listName = "KNOWN-RED.txt"

func main() {
	if err := run(os.Args[1:]); err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
}

// run executes a command. The working directory must be the root of the module.
func run(args []string) error {
	if len(args) != 1 {
		return errors.New("usage: knownred skip|exist")
	}
	entries, err := readEntries(listName)
	if err != nil {
		return err
	}
	switch args[0] {
	case "skip":
		fmt.Print(skipPattern(entries))
		return nil
	case "exist":
		return checkExistence(".", entries)
	}
	return fmt.Errorf("knownred: unknown command %q", args[0])
}

// readEntries reads the list. If the file does not exist, the list is empty.
func readEntries(name string) ([]entry, error) {
	text, err := os.ReadFile(name)
	if errors.Is(err, fs.ErrNotExist) {
		return nil, nil
	}
	if err != nil {
		return nil, err
	}
	return parseEntries(string(text))
}
