package balancer

import (
	"go/ast"
	"go/parser"
	"go/token"
	"os"
	"path/filepath"
	"regexp"
	"slices"
	"strings"
	"testing"
)

const (
	maxFileLines      = 300
	maxLineCharacters = 110
	maxFunctionLines  = 60
)

// sourceFiles returns the names of the package's Go files except tests.
func sourceFiles(t *testing.T) []string {
	t.Helper()
	files, err := filepath.Glob("*.go")
	if err != nil || len(files) == 0 {
		t.Fatalf("no source files: %v", err)
	}
	return slices.DeleteFunc(files, func(name string) bool { return strings.HasSuffix(name, "_test.go") })
}

// TestPolicyListsEveryFile checks that `policy` in the deploy file lists exactly the files of the package.
func TestPolicyListsEveryFile(t *testing.T) {
	text, err := os.ReadFile("../deploy/balancer.toml")
	if err != nil {
		t.Fatal(err)
	}
	policy := regexp.MustCompile(`(?s)\npolicy = \[(.*?)\]`).FindSubmatch(text)
	if policy == nil {
		t.Fatal("the deploy file has no list `policy`")
	}
	var listed []string
	for _, quoted := range regexp.MustCompile(`"([^"]*)"`).FindAllSubmatch(policy[1], -1) {
		listed = append(listed, string(quoted[1]))
	}
	slices.Sort(listed)
	var files []string
	for _, name := range sourceFiles(t) {
		files = append(files, "balancer/"+name)
	}
	if !slices.Equal(listed, files) {
		t.Errorf("policy lists\n%q\nand the package has\n%q", listed, files)
	}
}

// TestFilesAreSmall checks the number of lines of each file and their length.
func TestFilesAreSmall(t *testing.T) {
	for _, name := range sourceFiles(t) {
		text, err := os.ReadFile(name)
		if err != nil {
			t.Fatal(err)
		}
		lines := strings.Split(string(text), "\n")
		if len(lines)-1 > maxFileLines {
			t.Errorf("%s has %d lines, %d at most", name, len(lines)-1, maxFileLines)
		}
		for i, line := range lines {
			if len(line) > maxLineCharacters {
				t.Errorf("%s:%d: %d characters, %d at most", name, i+1, len(line), maxLineCharacters)
			}
		}
	}
}

// TestFunctionsAreShort checks the number of lines of each function, from its signature to its closing brace.
func TestFunctionsAreShort(t *testing.T) {
	for _, name := range sourceFiles(t) {
		files := token.NewFileSet()
		f, err := parser.ParseFile(files, name, nil, 0)
		if err != nil {
			t.Fatal(err)
		}
		for _, declaration := range f.Decls {
			function, ok := declaration.(*ast.FuncDecl)
			if !ok {
				continue
			}
			lines := files.Position(function.End()).Line - files.Position(function.Pos()).Line + 1
			if lines > maxFunctionLines {
				t.Errorf("%s: %s has %d lines, %d at most", name, function.Name.Name, lines, maxFunctionLines)
			}
		}
	}
}

// TestDecisionsImportNoInputOutput checks by the imports that the package uses no clocks, files or sockets.
func TestDecisionsImportNoInputOutput(t *testing.T) {
	allowed := []string{`"fmt"`, `"math"`, `"slices"`, `"strconv"`}
	allowedIn := map[string][]string{"gossip.go": {`"encoding/binary"`}}
	for _, name := range sourceFiles(t) {
		f, err := parser.ParseFile(token.NewFileSet(), name, nil, parser.ImportsOnly)
		if err != nil {
			t.Fatal(err)
		}
		for _, i := range f.Imports {
			if path := i.Path.Value; !slices.Contains(allowed, path) && !slices.Contains(allowedIn[name], path) {
				t.Errorf("%s imports %s, which is not allowed", name, path)
			}
		}
	}
}
