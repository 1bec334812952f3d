package dewhitch_test

import (
	"go/ast"
	"go/parser"
	"go/token"
	"io/fs"
	"os"
	"path/filepath"
	"regexp"
	"strings"
	"testing"
)

// Every package, and every exported type, function, method of an exported type, constant and variable, must have a comment. In a
// group of constants or variables, one comment for the group is enough.
func TestExportedItemsAreDocumented(t *testing.T) {
	files := token.NewFileSet()
	documented := map[string]bool{} // whether the package has a comment, by folder
	err := filepath.WalkDir(".", func(path string, d fs.DirEntry, err error) error {
		switch {
		case err != nil:
			return err
		case d.IsDir() && (d.Name() == "journal" || d.Name() == "bin" || d.Name() != "." && strings.HasPrefix(d.Name(), ".")):
			return filepath.SkipDir
		case d.IsDir() || !strings.HasSuffix(path, ".go") || strings.HasSuffix(path, "_test.go"):
			return nil
		}
		file, err := parser.ParseFile(files, path, nil, parser.ParseComments)
		if err != nil {
			return err
		}
		folder := filepath.Dir(path)
		documented[folder] = documented[folder] || file.Doc != nil
		if file.Name.Name != "main" {
			for _, name := range undocumented(file) {
				t.Errorf("%s: %s has no comment", path, name)
			}
		}
		return nil
	})
	if err != nil {
		t.Fatal(err)
	}
	if len(documented) < 20 {
		t.Errorf("%d packages found, want at least 20: the test looks in the wrong place", len(documented))
	}
	for folder, ok := range documented {
		if !ok {
			t.Errorf("the package in %s has no comment", folder)
		}
	}
}

// undocumented returns the names of the exported declarations of a file that have no comment.
func undocumented(file *ast.File) (names []string) {
	for _, decl := range file.Decls {
		switch d := decl.(type) {
		case *ast.FuncDecl:
			if d.Name.IsExported() && d.Doc == nil && receiverExported(d) {
				names = append(names, d.Name.Name)
			}
		case *ast.GenDecl:
			for _, spec := range d.Specs {
				names = append(names, undocumentedSpec(d, spec)...)
			}
		}
	}
	return names
}

func undocumentedSpec(d *ast.GenDecl, spec ast.Spec) (names []string) {
	switch s := spec.(type) {
	case *ast.TypeSpec:
		if s.Name.IsExported() && d.Doc == nil && s.Doc == nil && s.Comment == nil {
			names = append(names, s.Name.Name)
		}
	case *ast.ValueSpec:
		for _, name := range s.Names {
			if name.IsExported() && d.Doc == nil && s.Doc == nil && s.Comment == nil {
				names = append(names, name.Name)
			}
		}
	}
	return names
}

// receiverExported returns true if d is a plain function or a method of an exported type.
func receiverExported(d *ast.FuncDecl) bool {
	if d.Recv == nil {
		return true
	}
	receiver := d.Recv.List[0].Type
	if star, ok := receiver.(*ast.StarExpr); ok {
		receiver = star.X
	}
	if generic, ok := receiver.(*ast.IndexExpr); ok {
		receiver = generic.X
	}
	name, ok := receiver.(*ast.Ident)
	return ok && name.IsExported()
}

// pagePath matches the paths of files and folders of this repository in a page. Paths are written between backticks.
var pagePath = regexp.MustCompile("`((?:[a-z0-9_-]+/)*[a-z0-9_.-]+\\.(?:go|md|toml|json|star)|(?:cmd|internal|docs|deploy)(?:/[a-z0-9_-]+)+)`")

// The files and folders that the pages for newcomers and operators refer to must exist.
func TestPagesNameFilesThatExist(t *testing.T) {
	for _, page := range []string{"README.md", "docs/architecture.md", "docs/glossary.md"} {
		if found := checkPagePaths(t, page); found < 10 {
			t.Errorf("%s: %d paths found, want at least 10: the test looks for the wrong form", page, found)
		}
	}
	total := 0
	for _, folder := range []string{"docs/design", "docs/operate"} {
		pages, err := filepath.Glob(folder + "/*.md")
		if err != nil || len(pages) < 8 {
			t.Fatalf("%s: %d pages found, want at least 8, error %v: the test looks in the wrong place", folder, len(pages), err)
		}
		for _, page := range pages {
			total += checkPagePaths(t, page)
		}
	}
	if total < 40 {
		t.Errorf("%d paths found in the design and operating pages, want at least 40: the test looks for the wrong form", total)
	}
}

// checkPagePaths fails the test for each path on a page that does not exist, and returns the number of paths. Paths are relative
// to the root of the repository.
func checkPagePaths(t *testing.T, page string) int {
	t.Helper()
	text, err := os.ReadFile(page)
	if err != nil {
		t.Fatal(err)
	}
	found := pagePath.FindAllStringSubmatch(string(text), -1)
	for _, match := range found {
		if _, err := os.Stat(match[1]); err != nil {
			t.Errorf("%s: %v", page, err)
		}
	}
	return len(found)
}
