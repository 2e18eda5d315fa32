package cmd_test

import (
	"go/ast"
	"go/parser"
	"go/token"
	"os"
	"strings"
	"testing"

	"github.com/matryer/is"
)

// constants returns the values of the constants in a file whose names start with prefix.
func constants(t *testing.T, path, prefix string) (values []string) {
	t.Helper()
	file, err := parser.ParseFile(token.NewFileSet(), path, nil, 0)
	if err != nil {
		t.Fatal(err)
	}
	ast.Inspect(file, func(n ast.Node) bool {
		if spec, ok := n.(*ast.ValueSpec); ok && strings.HasPrefix(spec.Names[0].Name, prefix) {
			values = append(values, strings.Trim(spec.Values[0].(*ast.BasicLit).Value, `"`))
		}
		return true
	})
	return values
}

// Guards against codes and commands that operators cannot look up.
func TestOperatorsPageIsComplete(t *testing.T) {
	is := is.New(t)
	page, err := os.ReadFile("../docs/operators.md")
	is.NoErr(err)
	codes := constants(t, "../job/outcome.go", "Code")
	is.True(len(codes) > 20)
	for _, code := range codes {
		if code != "" && !strings.Contains(string(page), "\n| `"+code+"` | ") {
			t.Errorf("error code %q has no row", code)
		}
	}
	for _, code := range constants(t, "exit.go", "Exit") {
		if !strings.Contains(string(page), "\n| "+code+" | ") {
			t.Errorf("exit code %s has no row", code)
		}
	}
	for _, leaf := range leaves {
		if leaf != "version" && !strings.Contains(string(page), "clementinepier "+leaf) && !strings.Contains(string(page), "`"+leaf) {
			t.Errorf("command %q is not named", leaf)
		}
	}
}
