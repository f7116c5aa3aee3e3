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

// selected returns the field and method names that the files use.
func selected(t *testing.T, patterns ...string) map[string]bool {
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

// TestEverySettingHasAnEffect fails for a setting that the daemon never reads.
func TestEverySettingHasAnEffect(t *testing.T) {
	used := selected(t, "internal/wiring/daemon/*.go", "cmd/swiftvaned/*.go", "internal/support/settings/secrets.go")
	for _, section := range reflect.VisibleFields(reflect.TypeFor[settings.Settings]()) {
		if section.Tag.Get("toml") == "-" {
			continue
		}
		for _, field := range reflect.VisibleFields(section.Type) {
			require.True(t, used[field.Name], "%s.%s is never read", section.Name, field.Name)
		}
	}
}
