// Package docs checks that the pages under docs/ match the code.
package docs

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

	"github.com/stretchr/testify/require"
)

const root = "../.."

var testReference = regexp.MustCompile("`((?:Test|Benchmark|Fuzz)[A-Za-z0-9_]+)`")

// TestPagesReferOnlyToExistingTests guards against pages that cite a test as
// evidence after the test was renamed or removed.
func TestPagesReferOnlyToExistingTests(t *testing.T) {
	existing := testFunctions(t)
	references := 0
	for _, page := range pages(t) {
		text, err := os.ReadFile(page)
		require.NoError(t, err)
		for _, match := range testReference.FindAllStringSubmatch(string(text), -1) {
			references++
			require.Containsf(t, existing, match[1], "%s refers to a test that does not exist", page)
		}
	}
	require.Positive(t, references, "the pages refer to no test")
}

// pages returns the paths of all Markdown files under docs/.
func pages(t *testing.T) []string {
	t.Helper()
	var found []string
	walk(t, filepath.Join(root, "docs"), func(path string) {
		if strings.HasSuffix(path, ".md") {
			found = append(found, path)
		}
	})
	return found
}

// testFunctions returns the names of all top-level functions in the project's test
// files.
func testFunctions(t *testing.T) map[string]struct{} {
	t.Helper()
	names := map[string]struct{}{}
	walk(t, root, func(path string) {
		if !strings.HasSuffix(path, "_test.go") {
			return
		}
		file, err := parser.ParseFile(token.NewFileSet(), path, nil, parser.SkipObjectResolution)
		require.NoError(t, err)
		for _, decl := range file.Decls {
			if fn, ok := decl.(*ast.FuncDecl); ok && fn.Recv == nil {
				names[fn.Name.Name] = struct{}{}
			}
		}
	})
	return names
}

// walk calls visit for every file under dir.
func walk(t *testing.T, dir string, visit func(path string)) {
	t.Helper()
	require.NoError(t, filepath.WalkDir(dir, func(path string, entry fs.DirEntry, err error) error {
		if err == nil && !entry.IsDir() {
			visit(path)
		}
		return err
	}))
}
