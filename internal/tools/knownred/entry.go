package main

import (
	"fmt"
	"regexp"
	"strings"
)

// entry is a test that is known to fail for a fault which is not mended yet.
type entry struct {
	test    string // as go test prints its name: Test/sub-test
	command string // plays it
	seed    string // with which it failed, or how often
	observed    string // what was seen
	issue   string // number of the open issue
}

// entryError is a line of the list that is no complete entry.
type entryError struct {
	line   int
	reason string
}

// Error tells what is wrong with the line.
func (e *entryError) Error() string {
	return fmt.Sprintf("KNOWN-RED.txt, line %d: %s; an entry is `TEST: command: ...; seed: ...; seen: ...; issue N`", e.line, e.reason)
}

// The fields of an entry. The test's name ends before the first.
var (
	entryLine   = regexp.MustCompile(`^(\S+): command: (.*)$`)
	entryFields = regexp.MustCompile(`^(.*); seed: (.*?); seen: (.*); issue (\d+)$`)
)

// parseEntries reads the list: one entry a line, blank lines apart.
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
			return nil, &entryError{number, "the test is listed already"}
		}
		listed[e.test] = true
		entries = append(entries, e)
	}
	return entries, nil
}

// parseEntry reads one line, or says what is wrong with it.
func parseEntry(line string) (entry, string) {
	named := entryLine.FindStringSubmatch(line)
	if named == nil {
		return entry{}, "it names no test and command"
	}
	fields := entryFields.FindStringSubmatch(named[2])
	if fields == nil {
		return entry{}, "it lacks its seed, what was seen, or its issue"
	}
	e := entry{test: named[1], command: fields[1], seed: fields[2], observed: fields[3], issue: fields[4]}
	for _, value := range []string{e.command, e.seed, e.observed} {
		if strings.TrimSpace(value) == "" {
			return entry{}, "one of its fields is empty"
		}
	}
	return e, ""
}

// pattern returns a pattern for go test's -run and -skip that matches the test, with
// its sub-tests, and no other.
func (e entry) pattern() string {
	var parts []string
	for part := range strings.SplitSeq(e.test, "/") {
		parts = append(parts, "^"+regexp.QuoteMeta(part)+"$")
	}
	return strings.Join(parts, "/")
}

// skipPattern returns the pattern that matches just the listed tests; empty if none is.
func skipPattern(entries []entry) string {
	var patterns []string
	for _, e := range entries {
		patterns = append(patterns, e.pattern())
	}
	return strings.Join(patterns, "|")
}
