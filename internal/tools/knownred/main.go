// Command knownred reads KNOWN-RED.txt, the list of tests that fail for a fault which is
// not mended yet, for .ci/run: `knownred skip` prints the pattern that skips just those,
// and `knownred exist` fails unless each of them is a test of this module.
package main

import (
	"errors"
	"fmt"
	"io/fs"
	"os"
)

// listName is the list, at the root of the module.
const listName = "KNOWN-RED.txt"

func main() {
	if err := run(os.Args[1:]); err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
}

// run carries out a command in the module's root.
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
	return fmt.Errorf("knownred: no command %q", args[0])
}

// readEntries reads the list; without a file it is empty.
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
