// Package conventions tests conventions that the linters don't check: exported items have
// doc comments, and packages and their imports match docs/architecture.md.
package conventions

import (
	"bufio"
	"bytes"
	"go/ast"
	"go/parser"
	"go/token"
	"io/fs"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"slices"
	"strings"
	"testing"
)

const root = "../../.."

// visitSourceFiles calls visit with each source file that is neither a test nor generated.
func visitSourceFiles(t *testing.T, visit func(fset *token.FileSet, path string, file *ast.File)) {
	t.Helper()
	for _, top := range []string{"cmd", "internal"} {
		err := filepath.WalkDir(filepath.Join(root, top), func(path string, d fs.DirEntry, err error) error {
			if err != nil || d.IsDir() || !strings.HasSuffix(path, ".go") || strings.HasSuffix(path, "_test.go") {
				return err
			}
			fset := token.NewFileSet()
			file, err := parser.ParseFile(fset, path, nil, parser.ParseComments)
			if err == nil && !ast.IsGenerated(file) {
				visit(fset, path, file)
			}
			return err
		})
		if err != nil {
			t.Fatal(err)
		}
	}
}

// Every exported function, method, type, constant and variable has a doc comment. A comment
// on a group of constants or variables covers all of them.
func TestExportedItemsAreDocumented(t *testing.T) {
	visitSourceFiles(t, func(fset *token.FileSet, path string, file *ast.File) {
		missing := func(name *ast.Ident) {
			if name.IsExported() {
				t.Errorf("%s: %s has no doc comment", strings.TrimPrefix(fset.Position(name.Pos()).String(), root+"/"), name.Name)
			}
		}
		for _, decl := range file.Decls {
			switch d := decl.(type) {
			case *ast.FuncDecl:
				if d.Doc == nil && (d.Recv == nil || receiverIsExported(d)) {
					missing(d.Name)
				}
			case *ast.GenDecl:
				for _, spec := range d.Specs {
					switch s := spec.(type) {
					case *ast.TypeSpec:
						if d.Doc == nil && s.Doc == nil {
							missing(s.Name)
						}
					case *ast.ValueSpec:
						if d.Doc == nil && s.Doc == nil && s.Comment == nil {
							for _, name := range s.Names {
								missing(name)
							}
						}
					}
				}
			}
		}
	})
}

func receiverIsExported(d *ast.FuncDecl) bool {
	name := ""
	ast.Inspect(d.Recv.List[0].Type, func(n ast.Node) bool {
		if id, ok := n.(*ast.Ident); ok && name == "" {
			name = id.Name
		}
		return true
	})
	return ast.IsExported(name)
}

// packageRow matches a row of the package table in docs/architecture.md.
var packageRow = regexp.MustCompile("^\\| `((?:cmd|internal)/[^`]+)` \\|")

// documentedPackages are the packages that docs/architecture.md lists, from the top layer
// to the bottom.
func documentedPackages(t *testing.T) []string {
	t.Helper()
	file, err := os.Open(filepath.Join(root, "docs/architecture.md"))
	if err != nil {
		t.Fatal(err)
	}
	defer file.Close()
	var packages []string
	for lines := bufio.NewScanner(file); lines.Scan(); {
		if row := packageRow.FindStringSubmatch(lines.Text()); row != nil {
			packages = append(packages, row[1])
		}
	}
	return packages
}

// docs/architecture.md lists every package, and a package imports only packages that are
// listed below it.
func TestImportsFollowArchitectureLayers(t *testing.T) {
	documented := documentedPackages(t)
	list := exec.Command("go", "list", "-f", `{{.ImportPath}}{{range .Imports}} {{.}}{{end}}`, "./...")
	list.Dir = root
	out, err := list.Output()
	if err != nil {
		t.Fatal(err)
	}
	seen := map[string]bool{}
	for line := range strings.Lines(string(bytes.TrimSpace(out))) {
		words := strings.Fields(strings.ReplaceAll(line, "reedtrack/", ""))
		layer := slices.Index(documented, words[0])
		if layer < 0 {
			t.Errorf("docs/architecture.md does not list %s", words[0])
			continue
		}
		seen[words[0]] = true
		for _, imported := range words[1:] {
			if importedLayer := slices.Index(documented, imported); importedLayer >= 0 && importedLayer <= layer {
				t.Errorf("%s imports %s, which is listed above it", words[0], imported)
			}
		}
	}
	for _, name := range documented {
		if !seen[name] {
			t.Errorf("docs/architecture.md lists %s, which is no package", name)
		}
	}
}
