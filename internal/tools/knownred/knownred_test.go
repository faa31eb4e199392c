package main

import (
	"errors"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"testing"
)

// Entries of the two failing tests in testModule; the second name contains a comma and quotes.
const (
	completeEntry = "TestListed/x: command: go test . -run TestListed; seed: 1; seen: waits 91 s: too long; issue 42"
	quotedEntry   = `TestListed/one_can't_wait,_or_"waits": command: go test . -run TestListed; seed: 1; seen: waits; issue 46`
)

// A complete entry has a test, a command, a seed, an observed failure and an issue.
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
			t.Errorf("an empty list gives %v, %v", entries, err)
		}
	}
}

// The number of entries is not limited: a limit of three would have rejected a valid fourth
// entry.
func TestListHasNoLimit(t *testing.T) {
	text := ""
	for _, name := range []string{"a", "b", "c", "d", "e"} {
		text += strings.Replace(completeEntry, "/x", "/"+name, 1) + "\n"
	}
	if entries, err := parseEntries(text); err != nil || len(entries) != 5 {
		t.Errorf("%d entries, %v", len(entries), err)
	}
}

// An incomplete or duplicate entry is an error that contains the line number.
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

// testModule has listed subtests, which fail, and other tests with similar names.
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

// Only the listed tests are skipped, not those with similar names: with an unanchored
// pattern, TestListedToo/x was skipped along with TestListed/x.
func TestOnlyListedTestsAreSkipped(t *testing.T) {
	dir := writeTestModule(t)
	out, err := runUnlisted(t, dir, completeEntry+"\n"+quotedEntry)
	if err != nil {
		t.Fatalf("%v\n%s", err, out)
	}
	for _, name := range []string{"TestListed/x,_and_more", "TestListedToo/x"} {
		if !strings.Contains(out, "=== RUN   "+name+"\n") {
			t.Errorf("%s was not run", name)
		}
	}
	if strings.Contains(out, "=== RUN   TestListed/x\n") {
		t.Error("the listed test was run")
	}
}

// The run fails if the list does not contain all failing tests.
func TestUnlistedFailureIsReported(t *testing.T) {
	dir := writeTestModule(t)
	for _, list := range []string{"", completeEntry, quotedEntry} {
		if _, err := runUnlisted(t, dir, list); err == nil {
			t.Errorf("the run passes with the list %q", list)
		}
	}
}

// runUnlisted runs a module's tests as .ci/run does, except those on the list.
func runUnlisted(t *testing.T, dir, list string) (output string, err error) {
	t.Helper()
	entries, err := parseEntries(list)
	if err != nil {
		t.Fatal(err)
	}
	if err := checkExistence(dir, entries); err != nil {
		t.Fatal(err)
	}
	arguments := []string{"test", "-v"}
	if pattern := skipPattern(entries); pattern != "" {
		arguments = append(arguments, "-skip", pattern)
	}
	cmd := exec.Command("go", append(arguments, ".")...)
	cmd.Dir = dir
	out, err := cmd.CombinedOutput()
	return string(out), err
}

// An entry whose test or subtest does not exist is an error.
func TestListedTestsExist(t *testing.T) {
	dir := writeTestModule(t)
	for test, exists := range map[string]bool{
		"TestListed":     true,
		"TestListed/x":   true,
		"TestListed/y":   false,
		"TestListe":      false,
		"TestListedTo/x": false,
	} {
		err := checkExistence(dir, []entry{{test: test}})
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

// writeTestModule writes testModule to a new directory and returns the directory.
func writeTestModule(t *testing.T) string {
	t.Helper()
	dir := t.TempDir()
	for name, text := range map[string]string{"go.mod": "module like\n\ngo 1.26\n", "like_test.go": testModule} {
		if err := os.WriteFile(filepath.Join(dir, name), []byte(text), 0o600); err != nil {
			t.Fatal(err)
		}
	}
	return dir
}
