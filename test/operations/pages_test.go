package operations

import (
	"go/ast"
	"go/parser"
	"go/token"
	"io/fs"
	"os"
	"path/filepath"
	"reflect"
	"regexp"
	"strconv"
	"strings"
	"testing"

	"github.com/samber/lo"
	"github.com/stretchr/testify/require"

	"github.com/swiftvane/swiftvane/internal/domain/config"
)

const (
	root  = "../.."
	pages = root + "/docs/operations"
)

// page returns the text of an operators' page.
func page(t *testing.T, name string) string {
	t.Helper()
	content, err := os.ReadFile(filepath.Join(pages, name))
	require.NoError(t, err)
	return string(content)
}

// firstCells returns the code spans in the first cell of each table row, in order.
func firstCells(text string) []string {
	var cells []string
	for line := range strings.Lines(text) {
		if cell, found := strings.CutPrefix(line, "| "); found {
			cell, _, _ = strings.Cut(cell, "|")
			for _, match := range regexp.MustCompile("`([^`]+)`").FindAllStringSubmatch(cell, -1) {
				cells = append(cells, match[1])
			}
		}
	}
	return cells
}

func TestExitCodeTableMatchesCode(t *testing.T) {
	file, err := parser.ParseFile(token.NewFileSet(), root+"/internal/support/exitcode/exitcode.go", nil, 0)
	require.NoError(t, err)
	var rows []string
	ast.Inspect(file, func(n ast.Node) bool {
		if spec, ok := n.(*ast.ValueSpec); ok {
			rows = append(rows, "| "+spec.Values[0].(*ast.BasicLit).Value+" | "+spec.Names[0].Name+" |")
		}
		return true
	})
	require.NotEmpty(t, rows)
	_, table, found := strings.Cut(page(t, "install.md"), "<!-- exit codes:")
	require.True(t, found)
	table, _, _ = strings.Cut(table, "## Access")
	for _, row := range rows {
		require.Contains(t, table, row)
	}
	const headRows = 2
	require.Equal(t, len(rows)+headRows, strings.Count(table, "\n|"), "the table has a row that is not an exit code")
}

func TestPolicyKeyTableMatchesCode(t *testing.T) {
	keys := lo.Map(reflect.VisibleFields(reflect.TypeFor[config.Policy]()), func(f reflect.StructField, _ int) string {
		return f.Tag.Get("json")
	})
	_, table, found := strings.Cut(page(t, "defaults-and-exceptions.md"), "<!-- policy:")
	require.True(t, found)
	require.Equal(t, keys, firstCells(table))
}

// metricName returns the literal name of the metric that a call creates or counts,
// or an empty string for any other call.
func metricName(call *ast.CallExpr) string {
	selector, ok := call.Fun.(*ast.SelectorExpr)
	if !ok {
		return ""
	}
	at := map[string]int{"Counter": 0, "Gauge": 0, "Histogram": 0, "Timer": 0, "inc": 0, "IncReason": 1}
	index, known := at[selector.Sel.Name]
	if !known || len(call.Args) <= index {
		return ""
	}
	literal, ok := call.Args[index].(*ast.BasicLit)
	if !ok {
		return ""
	}
	name, _ := strconv.Unquote(literal.Value)
	return name
}

// metricNames returns the names of the tier's metrics in the non-test code, without
// the prefixes that scopes add.
func metricNames(t *testing.T) []string {
	t.Helper()
	var names []string
	err := filepath.WalkDir(root+"/internal", func(path string, entry fs.DirEntry, err error) error {
		if err != nil || entry.IsDir() || !strings.HasSuffix(path, ".go") || strings.HasSuffix(path, "_test.go") {
			return err
		}
		file, err := parser.ParseFile(token.NewFileSet(), path, nil, 0)
		if err != nil {
			return err
		}
		ast.Inspect(file, func(n ast.Node) bool {
			if call, ok := n.(*ast.CallExpr); ok {
				names = append(names, metricName(call))
			}
			return true
		})
		return nil
	})
	require.NoError(t, err)
	return lo.Uniq(lo.Compact(names))
}

func TestCounterPageListsExactlyTheMetricsInCode(t *testing.T) {
	documented := lo.Filter(firstCells(page(t, "counters.md")), func(name string, _ int) bool {
		return strings.HasPrefix(name, "swiftvane_")
	})
	names := metricNames(t)
	require.NotEmpty(t, names)
	for _, name := range names {
		require.True(t, lo.SomeBy(documented, func(e string) bool { return strings.HasSuffix(e, "_"+name) }), "%s is not documented", name)
	}
	for _, e := range documented {
		require.True(t, lo.SomeBy(names, func(name string) bool { return strings.HasSuffix(e, "_"+name) }), "%s is not in the code", e)
	}
}

func TestMetricsOnAllPagesAreInCounterPage(t *testing.T) {
	documented := firstCells(page(t, "counters.md"))
	files, err := filepath.Glob(pages + "/*.md")
	require.NoError(t, err)
	for _, file := range files {
		for _, name := range regexp.MustCompile(`swiftvane_[a-z_]+`).FindAllString(page(t, filepath.Base(file)), -1) {
			require.Contains(t, documented, name, file)
		}
	}
}

func TestLinksResolveToFiles(t *testing.T) {
	files, err := filepath.Glob(pages + "/*.md")
	require.NoError(t, err)
	require.NotEmpty(t, files)
	for _, file := range files {
		for _, match := range regexp.MustCompile(`\]\(([^)#:]+)\)`).FindAllStringSubmatch(page(t, filepath.Base(file)), -1) {
			require.FileExists(t, filepath.Join(pages, match[1]), file)
		}
	}
}
