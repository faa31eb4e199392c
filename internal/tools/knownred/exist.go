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

// subtestTimeout is the timeout for running a listed subtest to check that it exists.
const subtestTimeout = "2m"

// missingTestError reports an entry whose test does not exist.
type missingTestError struct{ test string }

// Error returns the name of the list and of the missing test.
func (e *missingTestError) Error() string {
	return fmt.Sprintf("%s: no test is named %s", listName, e.test)
}

// checkExistence returns an error for the first entry whose test does not exist in the
// module at root.
func checkExistence(root string, entries []entry) error {
	for _, e := range entries {
		top, _, isSubtest := strings.Cut(e.test, "/")
		dir, err := findTestDir(root, top)
		if err != nil {
			return err
		}
		if dir == "" || isSubtest && !subtestExists(dir, e) {
			return &missingTestError{e.test}
		}
	}
	return nil
}

// findTestDir returns the directory of the package that declares a top-level test, or an
// empty string if there is none.
func findTestDir(root, test string) (dir string, err error) {
	err = filepath.WalkDir(root, func(path string, d fs.DirEntry, err error) error {
		if err != nil || d.IsDir() || !strings.HasSuffix(path, "_test.go") {
			return err
		}
		file, err := parser.ParseFile(token.NewFileSet(), path, nil, parser.SkipObjectResolution)
		if err != nil {
			return err
		}
		if declaresFunction(file, test) {
			dir = filepath.Dir(path)
			return filepath.SkipAll
		}
		return nil
	})
	return dir, err
}

// declaresFunction reports whether a file declares a function with the given name.
func declaresFunction(file *ast.File, name string) bool {
	for _, decl := range file.Decls {
		if f, ok := decl.(*ast.FuncDecl); ok && f.Recv == nil && f.Name.Name == name {
			return true
		}
	}
	return false
}

// subtestExists runs a listed subtest and reports whether it exists, since subtest names
// are known only at run time. Whether the test passes is ignored.
func subtestExists(dir string, e entry) bool {
	cmd := exec.Command("go", "test", "-race", "-v", "-count", "1", "-timeout", subtestTimeout, "-run", e.pattern(), ".")
	cmd.Dir = dir
	cmd.Stderr = os.Stderr
	out, _ := cmd.Output() // the test may fail: it is listed
	return bytes.Contains(out, []byte("=== RUN   "+e.test+"\n"))
}
