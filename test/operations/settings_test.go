package operations

import (
	"go/ast"
	"go/parser"
	"go/token"
	"path/filepath"
	"reflect"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/swiftvane/swiftvane/internal/support/settings"
)

// selectorNames returns the names that selector expressions use, such as fields
// and methods, in the non-test files that match the patterns.
func selectorNames(t *testing.T, patterns ...string) map[string]bool {
	t.Helper()
	names := map[string]bool{}
	for _, pattern := range patterns {
		files, err := filepath.Glob(filepath.Join(root, pattern))
		require.NoError(t, err)
		require.NotEmpty(t, files, pattern)
		for _, path := range files {
			if strings.HasSuffix(path, "_test.go") {
				continue
			}
			file, err := parser.ParseFile(token.NewFileSet(), path, nil, 0)
			require.NoError(t, err)
			ast.Inspect(file, func(n ast.Node) bool {
				if selector, ok := n.(*ast.SelectorExpr); ok {
					names[selector.Sel.Name] = true
				}
				return true
			})
		}
	}
	return names
}

// TestEverySettingIsRead guards against a setting that the daemon accepts but
// never reads. It compares field names only.
func TestEverySettingIsRead(t *testing.T) {
	used := selectorNames(t, "internal/wiring/daemon/*.go", "cmd/swiftvaned/*.go", "internal/support/settings/secrets.go")
	for _, section := range reflect.VisibleFields(reflect.TypeFor[settings.Settings]()) {
		if section.Tag.Get("toml") == "-" {
			continue
		}
		for _, field := range reflect.VisibleFields(section.Type) {
			require.True(t, used[field.Name], "%s.%s is never read", section.Name, field.Name)
		}
	}
}
