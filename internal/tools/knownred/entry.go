package main

import (
	"fmt"
	"regexp"
	"strings"
)

// entry describes a test that is known to fail because of a bug that is not fixed yet.
type entry struct {
	test     string // name as printed by go test: Test/subtest
	command  string // runs the test
	seed     string // seed with which the test failed, or how often it failed
	observed string // observed failure
	issue    string // number of the open issue
}

// entryError reports a line of the list that is not a valid entry.
type entryError struct {
	line   int
	reason string
}

// Error returns the line number, the reason and the entry format.
func (e *entryError) Error() string {
	return fmt.Sprintf("KNOWN-RED.txt, line %d: %s; an entry is `TEST: command: ...; seed: ...; seen: ...; issue N`", e.line, e.reason)
}

// Format of an entry: the test name, followed by its fields.
var (
	entryLine   = regexp.MustCompile(`^(\S+): command: (.*)$`)
	entryFields = regexp.MustCompile(`^(.*); seed: (.*?); seen: (.*); issue (\d+)$`)
)

// parseEntries parses the list, which has one entry per line. Blank lines are ignored.
func parseEntries(text string) ([]entry, error) {
	var entries []entry
	listed := map[string]bool{}
	number := 0
	for line := range strings.Lines(text) {
		number++
		line = strings.TrimSpace(line)
		if line == "" {
			continue
		}
		e, reason := parseEntry(line)
		if reason != "" {
			return nil, &entryError{number, reason}
		}
		if listed[e.test] {
			return nil, &entryError{number, "duplicate entry for the test"}
		}
		listed[e.test] = true
		entries = append(entries, e)
	}
	return entries, nil
}

// parseEntry parses a line. If it is invalid, it returns the reason.
func parseEntry(line string) (entry, string) {
	named := entryLine.FindStringSubmatch(line)
	if named == nil {
		return entry{}, "missing test name or command"
	}
	fields := entryFields.FindStringSubmatch(named[2])
	if fields == nil {
		return entry{}, "missing seed, observed failure or issue"
	}
	e := entry{test: named[1], command: fields[1], seed: fields[2], observed: fields[3], issue: fields[4]}
	for _, value := range []string{e.command, e.seed, e.observed} {
		if strings.TrimSpace(value) == "" {
			return entry{}, "a field is empty"
		}
	}
	return e, ""
}

// pattern returns a pattern for the -run and -skip flags of go test that matches only this
// test and its subtests.
func (e entry) pattern() string {
	var parts []string
	for part := range strings.SplitSeq(e.test, "/") {
		parts = append(parts, "^"+regexp.QuoteMeta(part)+"$")
	}
	return strings.Join(parts, "/")
}

// skipPattern returns a pattern that matches only the listed tests, or an empty string if
// there are none.
func skipPattern(entries []entry) string {
	var patterns []string
	for _, e := range entries {
		patterns = append(patterns, e.pattern())
	}
	return strings.Join(patterns, "|")
}
