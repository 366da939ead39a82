package ci

import (
	"fmt"
	"go/ast"
	"go/parser"
	"go/token"
	"io/fs"
	"maps"
	"os"
	"path/filepath"
	"regexp"
	"slices"
	"strings"
	"testing"
)

// documentedList is the file that lists the packages whose documentation is complete. Each line is the path of a folder from
// the module's root; the lines are sorted.
const documentedList = "../../.ci/documented.txt"

// Every listed package has a package comment, and every exported item in it has a doc comment. The linter checks the form of
// the comments.
func TestListedPackagesAreDocumented(t *testing.T) {
	text, err := os.ReadFile(documentedList)
	if err != nil {
		t.Fatal(err)
	}
	folders := strings.Fields(string(text))
	if len(folders) == 0 {
		t.Fatalf("%s names no package", documentedList)
	}
	if !slices.IsSorted(folders) || len(slices.Compact(slices.Clone(folders))) != len(folders) {
		t.Errorf("%s is not sorted, or names a package twice", documentedList)
	}
	for _, folder := range folders {
		t.Run(folder, func(t *testing.T) {
			missing, err := undocumentedInFolder(filepath.Join("../..", folder))
			if err != nil {
				t.Fatal(err)
			}
			for _, item := range missing {
				t.Error(item)
			}
		})
	}
}

func TestUndocumentedItemsAreFound(t *testing.T) {
	for _, c := range []struct {
		name    string
		source  string
		missing []string
	}{
		{"package without a comment", "package p", []string{"package p"}},
		{"package with a comment", "// Package p does.\npackage p", nil},
		{"function", "// Package p does.\npackage p\nfunc F() {}", []string{"F"}},
		{"function with a comment", "// Package p does.\npackage p\n// F does.\nfunc F() {}", nil},
		{"directive is no comment", "// Package p does.\npackage p\n//go:noinline\nfunc F() {}", []string{"F"}},
		{"unexported function", "// Package p does.\npackage p\nfunc f() {}", nil},
		{"type", "// Package p does.\npackage p\ntype T int", []string{"T"}},
		{"types in a group", "// Package p does.\npackage p\n// Types.\ntype (\n// T is.\nT int\nU int\n)", []string{"U"}},
		{"method", "// Package p does.\npackage p\n// T is.\ntype T[K any] int\nfunc (*T[K]) M() {}", []string{"T.M"}},
		{"method of an unexported type", "// Package p does.\npackage p\ntype t int\nfunc (t) M() {}", nil},
		{"method of an exported interface", "// Package p does.\npackage p\n// T is.\ntype T interface {\nM()\n// N does.\nN()\n}",
			[]string{"T.M"}},
		{"constants", "// Package p does.\npackage p\nconst (\nA = 1\n// B is.\nB = 2\nC = 3 // is\nd = 4\n)", []string{"A"}},
		{"constants under one comment", "// Package p does.\npackage p\n// Numbers.\nconst (\nA = 1\nB = 2\n)", nil},
		{"variables", "// Package p does.\npackage p\nvar A, b, C int", []string{"A", "C"}},
	} {
		t.Run(c.name, func(t *testing.T) {
			missing, err := undocumented(map[string]string{"p.go": c.source})
			if err != nil {
				t.Fatal(err)
			}
			for i := range missing {
				missing[i] = missing[i][strings.LastIndex(missing[i], ": ")+2:]
			}
			if !slices.Equal(missing, c.missing) {
				t.Errorf("found %q, want %q", missing, c.missing)
			}
		})
	}
}

// undocumentedInFolder lists the items that lack a doc comment in the package of a folder, without its tests.
func undocumentedInFolder(folder string) ([]string, error) {
	paths, err := filepath.Glob(filepath.Join(folder, "*.go"))
	if err != nil {
		return nil, err
	}
	sources := map[string]string{}
	for _, path := range paths {
		if strings.HasSuffix(path, "_test.go") {
			continue
		}
		text, err := os.ReadFile(path)
		if err != nil {
			return nil, err
		}
		sources[path] = string(text)
	}
	if len(sources) == 0 {
		return nil, fmt.Errorf("no Go files in %s", folder)
	}
	return undocumented(sources)
}

// undocumented lists, as `position: name`, the items that lack a doc comment in one package. sources maps the path of each
// file of the package to its source.
func undocumented(sources map[string]string) ([]string, error) {
	files := token.NewFileSet()
	var missing []string
	report := func(position token.Pos, name string) {
		missing = append(missing, fmt.Sprintf("%v: %s", files.Position(position), name))
	}
	packageDocumented := false
	var clause *ast.Ident
	for _, path := range slices.Sorted(maps.Keys(sources)) {
		file, err := parser.ParseFile(files, path, sources[path], parser.ParseComments)
		if err != nil {
			return nil, err
		}
		clause = file.Name
		packageDocumented = packageDocumented || file.Doc.Text() != ""
		for _, declaration := range file.Decls {
			reportDeclaration(declaration, report)
		}
	}
	if !packageDocumented {
		report(clause.Pos(), "package "+clause.Name)
	}
	return missing, nil
}

// reportDeclaration reports the exported items of a declaration that lack a doc comment.
func reportDeclaration(declaration ast.Decl, report func(token.Pos, string)) {
	switch declaration := declaration.(type) {
	case *ast.FuncDecl:
		name := declaration.Name.Name
		if receiver := receiverType(declaration); receiver != "" {
			if !ast.IsExported(receiver) {
				return
			}
			name = receiver + "." + name
		}
		if declaration.Name.IsExported() && declaration.Doc.Text() == "" {
			report(declaration.Pos(), name)
		}
	case *ast.GenDecl:
		for _, spec := range declaration.Specs {
			reportSpec(spec, declaration, report)
		}
	}
}

// reportSpec reports the exported names of a type, constant or variable that lack a doc comment. The comment of a group
// documents each of its constants or variables, but none of its types.
func reportSpec(spec ast.Spec, group *ast.GenDecl, report func(token.Pos, string)) {
	switch spec := spec.(type) {
	case *ast.TypeSpec:
		if !spec.Name.IsExported() {
			return
		}
		if spec.Doc.Text() == "" && (group.Lparen.IsValid() || group.Doc.Text() == "") {
			report(spec.Pos(), spec.Name.Name)
		}
		if interfaceType, ok := spec.Type.(*ast.InterfaceType); ok {
			reportMethods(spec.Name.Name, interfaceType, report)
		}
	case *ast.ValueSpec:
		if spec.Doc.Text() != "" || spec.Comment.Text() != "" || group.Doc.Text() != "" {
			return
		}
		for _, name := range spec.Names {
			if name.IsExported() {
				report(name.Pos(), name.Name)
			}
		}
	}
}

// reportMethods reports the exported methods of an interface that lack a comment.
func reportMethods(interfaceName string, interfaceType *ast.InterfaceType, report func(token.Pos, string)) {
	for _, method := range interfaceType.Methods.List {
		if method.Doc.Text() != "" || method.Comment.Text() != "" {
			continue
		}
		for _, name := range method.Names {
			if name.IsExported() {
				report(name.Pos(), interfaceName+"."+name.Name)
			}
		}
	}
}

// receiverType returns the name of a method's receiver type without pointer and type parameters, "" for a function.
func receiverType(function *ast.FuncDecl) string {
	if function.Recv == nil {
		return ""
	}
	expression := function.Recv.List[0].Type
	for {
		switch e := expression.(type) {
		case *ast.StarExpr:
			expression = e.X
		case *ast.IndexExpr:
			expression = e.X
		case *ast.IndexListExpr:
			expression = e.X
		case *ast.Ident:
			return e.Name
		default:
			return ""
		}
	}
}

// testName matches the name of a Go test on a page.
var testName = regexp.MustCompile(`\bTest[A-Z][A-Za-z0-9]*`)

// The pages that say which test shows what must name tests that exist. Pages of incidents are not checked: they stay as they
// were written.
func TestPagesNameExistingTests(t *testing.T) {
	tests := testNames(t, "../..")
	pages, err := filepath.Glob("../../docs/*.md")
	if err != nil {
		t.Fatal(err)
	}
	for _, page := range append(pages, "../../README.md") {
		text, err := os.ReadFile(page)
		if err != nil {
			t.Fatal(err)
		}
		for _, name := range testName.FindAllString(string(text), -1) {
			if !tests[name] {
				t.Errorf("%s: no test %s", page, name)
			}
		}
	}
}

// testNames returns the names of the tests of all packages under root.
func testNames(t *testing.T, root string) map[string]bool {
	t.Helper()
	declaration := regexp.MustCompile(`(?m)^func (Test\w+)\(`)
	names := map[string]bool{}
	err := filepath.WalkDir(root, func(path string, entry fs.DirEntry, err error) error {
		if err != nil || !strings.HasSuffix(path, "_test.go") {
			return err
		}
		source, err := os.ReadFile(path)
		for _, match := range declaration.FindAllSubmatch(source, -1) {
			names[string(match[1])] = true
		}
		return err
	})
	if err != nil {
		t.Fatal(err)
	}
	return names
}
