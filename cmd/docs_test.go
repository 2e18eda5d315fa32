package cmd_test

import (
	"go/ast"
	"go/parser"
	"go/token"
	"os"
	"regexp"
	"strings"
	"testing"

	"github.com/matryer/is"
)

// constants returns the values of the constants in the Go file at path whose names start with prefix.
func constants(t *testing.T, path, prefix string) (values []string) {
	t.Helper()
	file, err := parser.ParseFile(token.NewFileSet(), path, nil, 0)
	if err != nil {
		t.Fatal(err)
	}
	ast.Inspect(file, func(n ast.Node) bool {
		if spec, ok := n.(*ast.ValueSpec); ok && len(spec.Values) == 1 && strings.HasPrefix(spec.Names[0].Name, prefix) {
			values = append(values, strings.Trim(spec.Values[0].(*ast.BasicLit).Value, `"`))
		}
		return true
	})
	return values
}

// Guards against error codes, exit codes, metrics and commands that docs/operators.md does not describe.
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
	names := constants(t, "../metrics/metrics.go", "")
	is.True(len(names) > 30)
	for _, name := range names {
		if !strings.Contains(string(page), "\n| `"+name+"` | ") {
			t.Errorf("metric %q has no row", name)
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

// Guards against API routes that docs/api.md does not describe.
func TestAPIPageIsComplete(t *testing.T) {
	is := is.New(t)
	page, err := os.ReadFile("../docs/api.md")
	is.NoErr(err)
	source, err := os.ReadFile("../api/api.go")
	is.NoErr(err)
	paths := map[string]string{}
	for _, name := range []string{"PathBundle", "PathConfig", "PathStatus", "PathRequests"} {
		paths["message."+name] = constants(t, "../message/message.go", name)[0]
	}
	routes := regexp.MustCompile(`a\.server\.([A-Z]+)\(([^,]+),`).FindAllStringSubmatch(string(source), -1)
	is.True(len(routes) >= 8)
	for _, route := range routes {
		path := ""
		for _, part := range strings.Split(route[2], "+") {
			if named, ok := paths[part]; ok {
				path += named
			} else {
				path += strings.Trim(part, `"`)
			}
		}
		path = regexp.MustCompile(`:(\w+)`).ReplaceAllString(path, "{$1}")
		if heading := "\n## " + route[1] + " " + path + "\n"; !strings.Contains(string(page), heading) {
			t.Errorf("docs/api.md has no heading %q", strings.TrimSpace(heading))
		}
	}
}
