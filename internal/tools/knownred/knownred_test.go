package main

import (
	"errors"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"testing"
)

// Entries of the two tests that fail in testModule, the second with a comma and quotes.
const (
	completeEntry = "TestListed/x: command: go test . -run TestListed; seed: 1; seen: waits 91 s: too long; issue 42"
	quotedEntry   = `TestListed/one_can't_wait,_or_"waits": command: go test . -run TestListed; seed: 1; seen: waits; issue 46`
)

// A complete entry has a test, a command, a seed, what was seen and an issue.
func TestParseEntries(t *testing.T) {
	entries, err := parseEntries(completeEntry + "\n\n")
	if err != nil || len(entries) != 1 {
		t.Fatalf("%v, %v", entries, err)
	}
	expected := entry{test: "TestListed/x", command: "go test . -run TestListed", seed: "1", observed: "waits 91 s: too long", issue: "42"}
	if entries[0] != expected {
		t.Errorf("%+v", entries[0])
	}
	for _, empty := range []string{"", "\n"} {
		if entries, err := parseEntries(empty); err != nil || skipPattern(entries) != "" {
			t.Errorf("a clean list gives %v, %v", entries, err)
		}
	}
}

// However many tests are listed, a true entry is taken: a cap of three would have kept a
// fourth out of the list.
func TestListHasNoLimit(t *testing.T) {
	text := ""
	for _, name := range []string{"a", "b", "c", "d", "e"} {
		text += strings.Replace(completeEntry, "/x", "/"+name, 1) + "\n"
	}
	if entries, err := parseEntries(text); err != nil || len(entries) != 5 {
		t.Errorf("%d entries, %v", len(entries), err)
	}
}

// An entry that is not complete, or is there already, is an error that says where.
func TestIncompleteEntriesAreRefused(t *testing.T) {
	for name, text := range map[string]string{
		"former form":  "TestListed/x: it waits (issue 38)",
		"no command":   "TestListed/x: seed: 1; seen: waits; issue 42",
		"no seed":      "TestListed/x: command: go test .; seen: waits; issue 42",
		"empty seed":   "TestListed/x: command: go test .; seed: ; seen: waits; issue 42",
		"no issue":     "TestListed/x: command: go test .; seed: 1; seen: waits",
		"no test":      ": command: go test .; seed: 1; seen: waits; issue 42",
		"listed twice": strings.Repeat(completeEntry+"\n", 2),
	} {
		if _, err := parseEntries(text); !errors.As(err, new(*entryError)) {
			t.Errorf("%s: %v", name, err)
		}
	}
}

// testModule has a listed sub-test, which fails, and others of like names.
const testModule = `package like

import "testing"

func TestListed(t *testing.T) {
	t.Run("x", func(t *testing.T) { t.Fatal("known red") })
	t.Run("x,_and_more", func(t *testing.T) {})
	t.Run("one can't wait, or \"waits\"", func(t *testing.T) { t.Fatal("known red") })
}

func TestListedToo(t *testing.T) {
	t.Run("x", func(t *testing.T) {})
}
`

// Just the listed test is skipped, none of a like name: with a pattern that is not
// anchored TestListedToo/x was skipped with TestListed/x.
func TestOnlyListedTestsAreSkipped(t *testing.T) {
	folder := writeTestModule(t)
	out, err := runUnlisted(t, folder, completeEntry+"\n"+quotedEntry)
	if err != nil {
		t.Fatalf("%v\n%s", err, out)
	}
	for _, played := range []string{"TestListed/x,_and_more", "TestListedToo/x"} {
		if !strings.Contains(out, "=== RUN   "+played+"\n") {
			t.Errorf("%s was not played", played)
		}
	}
	if strings.Contains(out, "=== RUN   TestListed/x\n") {
		t.Error("the listed test was played")
	}
}

// A list without the failing tests does not let them pass.
func TestUnlistedFailureCounts(t *testing.T) {
	folder := writeTestModule(t)
	for _, list := range []string{"", completeEntry, quotedEntry} {
		if _, err := runUnlisted(t, folder, list); err == nil {
			t.Errorf("passes with the list %q", list)
		}
	}
}

// runUnlisted plays a module's tests as .ci/run does, all but those of a list.
func runUnlisted(t *testing.T, folder, list string) (output string, err error) {
	t.Helper()
	entries, err := parseEntries(list)
	if err != nil {
		t.Fatal(err)
	}
	if err := checkExistence(folder, entries); err != nil {
		t.Fatal(err)
	}
	arguments := []string{"test", "-v"}
	if pattern := skipPattern(entries); pattern != "" {
		arguments = append(arguments, "-skip", pattern)
	}
	play := exec.Command("go", append(arguments, ".")...)
	play.Dir = folder
	out, err := play.CombinedOutput()
	return string(out), err
}

// An entry that names no test, or no sub-test, is an error.
func TestListedTestsExist(t *testing.T) {
	folder := writeTestModule(t)
	for test, exists := range map[string]bool{
		"TestListed":     true,
		"TestListed/x":   true,
		"TestListed/y":   false,
		"TestListe":      false,
		"TestListedTo/x": false,
	} {
		err := checkExistence(folder, []entry{{test: test}})
		if err != nil && err.Error() != "KNOWN-RED.txt: no test is named "+test {
			t.Errorf("%s: %v", test, err)
		}
		if missing := errors.As(err, new(*missingTestError)); missing == exists {
			t.Errorf("%s: %v", test, err)
		}
	}
}

// The list of this module is well-formed.
func TestOwnListIsWellFormed(t *testing.T) {
	if _, err := readEntries(filepath.Join("../../..", listName)); err != nil {
		t.Error(err)
	}
}

// writeTestModule writes a module of its own and returns its folder.
func writeTestModule(t *testing.T) string {
	t.Helper()
	folder := t.TempDir()
	for name, text := range map[string]string{"go.mod": "module like\n\ngo 1.26\n", "like_test.go": testModule} {
		if err := os.WriteFile(filepath.Join(folder, name), []byte(text), 0o600); err != nil {
			t.Fatal(err)
		}
	}
	return folder
}
