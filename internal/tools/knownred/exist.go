package main

import (
	"bytes"
	"fmt"
	"go/ast"
	"go/parser"
	"go/token"
	"io/fs"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
)

// subtestTimeout bounds the play of a listed sub-test that shows that there is one.
const subtestTimeout = "2m"

// missingTestError is an entry that names no test.
type missingTestError struct{ test string }

// Error names the test.
func (e *missingTestError) Error() string {
	return fmt.Sprintf("%s: no test is named %s", listName, e.test)
}

// checkExistence reports the first entry that names no test of the module at root.
func checkExistence(root string, entries []entry) error {
	for _, e := range entries {
		top, _, isSubtest := strings.Cut(e.test, "/")
		folder, err := findTestDir(root, top)
		if err != nil {
			return err
		}
		if folder == "" || isSubtest && !subtestExists(folder, e) {
			return &missingTestError{e.test}
		}
	}
	return nil
}

// findTestDir returns the folder of the package that has a top-level test; empty if
// none has.
func findTestDir(root, test string) (folder string, err error) {
	err = filepath.WalkDir(root, func(path string, d fs.DirEntry, err error) error {
		if err != nil || d.IsDir() || !strings.HasSuffix(path, "_test.go") {
			return err
		}
		file, err := parser.ParseFile(token.NewFileSet(), path, nil, parser.SkipObjectResolution)
		if err != nil {
			return err
		}
		if declaresFunction(file, test) {
			folder = filepath.Dir(path)
			return filepath.SkipAll
		}
		return nil
	})
	return folder, err
}

// declaresFunction reports whether a file declares a function of that name.
func declaresFunction(file *ast.File, name string) bool {
	for _, decl := range file.Decls {
		if f, ok := decl.(*ast.FuncDecl); ok && f.Recv == nil && f.Name.Name == name {
			return true
		}
	}
	return false
}

// subtestExists plays a listed sub-test and reports whether there is one: only a play
// tells the names of sub-tests. Whether it passes is not asked.
func subtestExists(folder string, e entry) bool {
	play := exec.Command("go", "test", "-race", "-v", "-count", "1", "-timeout", subtestTimeout, "-run", e.pattern(), ".")
	play.Dir = folder
	play.Stderr = os.Stderr
	out, _ := play.Output() // the test may fail: it is listed
	return bytes.Contains(out, []byte("=== RUN   "+e.test+"\n"))
}
