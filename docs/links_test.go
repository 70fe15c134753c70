// Package docs_test checks the pages against each other and against the code.
package docs_test

import (
	"go/ast"
	"go/parser"
	"go/token"
	"io/fs"
	"os"
	"path/filepath"
	"regexp"
	"slices"
	"strconv"
	"strings"
	"testing"

	"github.com/matryer/is"
)

// root is the module's folder, seen from here.
const root = ".."

var (
	linkPattern    = regexp.MustCompile(`\]\(([^)\s]+)\)`)
	headingPattern = regexp.MustCompile(`(?m)^#+ +(.+)$`)
	notInAnchor    = regexp.MustCompile(`[^a-z0-9 _-]`)
)

func TestLinksResolve(t *testing.T) {
	pages := pagesOf(t)
	if len(pages) == 0 {
		t.Fatal("no page was found")
	}
	for _, page := range pages {
		for _, match := range linkPattern.FindAllStringSubmatch(read(t, page), -1) {
			if fault := linkFault(t, page, match[1]); fault != "" {
				t.Errorf("%s: link %s: %s", page, match[1], fault)
			}
		}
	}
}

// TestNamesAreDescribed compares names in the code with the rows of the pages
// that explain them.
func TestNamesAreDescribed(t *testing.T) {
	interfaces, metrics := "INTERFACES.md", filepath.Join("operate", "metrics.md")
	tests := []struct {
		name  string
		page  string
		row   string
		names []string
	}{
		{"metrics", metrics, "| `keel_%s` |", append(metricNames(t, "keelinstance/metrics.go"), metricNames(t, "keelinstance/gauges.go")...)},
		{"reasons", interfaces, "| `%s` |", constants(t, "refusal.go", "Reason", valueOf)},
		{"kinds of messages", interfaces, "| `%s` |", constants(t, "message.go", "MessageKind", nameOf)},
		{"classes", interfaces, "`%s`", constants(t, "class.go", "Class", valueOf)},
		{"label targets", interfaces, "`%s`", constants(t, "declaration.go", "LabelTarget", valueOf)},
		{"kinds of things", interfaces, "`%s`", constants(t, "change.go", "Kind", valueOf)},
		{"packages", "ARCHITECTURE.md", "| `%s` |", packageNames(t)},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			page := read(t, filepath.Join(root, "docs", tt.page))
			is.True(len(tt.names) > 0) // the names are found in the source
			for _, name := range tt.names {
				if row := strings.Replace(tt.row, "%s", name, 1); !strings.Contains(page, row) {
					t.Errorf("%s does not hold %s", tt.page, row)
				}
			}
		})
	}
}

func pagesOf(t *testing.T) []string {
	t.Helper()
	var pages []string
	err := filepath.WalkDir(root, func(path string, d fs.DirEntry, err error) error {
		if err == nil && !d.IsDir() && filepath.Ext(path) == ".md" {
			pages = append(pages, path)
		}
		return err
	})
	if err != nil {
		t.Fatal(err)
	}
	return pages
}

// linkFault returns why a link on a page leads nowhere, or nothing. Links to
// other sites are not followed.
func linkFault(t *testing.T, page, link string) string {
	t.Helper()
	if strings.Contains(link, "://") {
		return ""
	}
	path, anchor, _ := strings.Cut(link, "#")
	target := page
	if path != "" {
		target = filepath.Join(filepath.Dir(page), path)
	}
	if _, err := os.Stat(target); err != nil {
		return "the file does not exist"
	}
	if anchor != "" && !hasAnchor(read(t, target), anchor) {
		return "the page has no such heading"
	}
	return ""
}

func hasAnchor(page, anchor string) bool {
	for _, match := range headingPattern.FindAllStringSubmatch(page, -1) {
		text := notInAnchor.ReplaceAllString(strings.ToLower(match[1]), "")
		if strings.ReplaceAll(text, " ", "-") == anchor {
			return true
		}
	}
	return false
}

// metricNames returns the first argument of every call that makes a metric.
func metricNames(t *testing.T, path string) []string {
	t.Helper()
	var names []string
	ast.Inspect(parse(t, path), func(n ast.Node) bool {
		call, ok := n.(*ast.CallExpr)
		if !ok || len(call.Args) == 0 {
			return true
		}
		switch fun, _ := call.Fun.(*ast.SelectorExpr); {
		case fun == nil:
		case fun.Sel.Name == "Counter", fun.Sel.Name == "Gauge", fun.Sel.Name == "Histogram":
			names = append(names, text(t, call.Args[0]))
		}
		return true
	})
	return names
}

// constants returns what of gives for each constant of one type.
func constants(t *testing.T, path, typeName string, of func(*testing.T, *ast.ValueSpec, int) string) []string {
	t.Helper()
	var found []string
	ast.Inspect(parse(t, path), func(n ast.Node) bool {
		spec, ok := n.(*ast.ValueSpec)
		if !ok {
			return true
		}
		if id, ok := spec.Type.(*ast.Ident); !ok || id.Name != typeName {
			return true
		}
		for i := range spec.Names {
			found = append(found, of(t, spec, i))
		}
		return true
	})
	return found
}

func nameOf(_ *testing.T, spec *ast.ValueSpec, i int) string { return spec.Names[i].Name }

func valueOf(t *testing.T, spec *ast.ValueSpec, i int) string {
	t.Helper()
	return text(t, spec.Values[i])
}

// packageNames returns the folders at the module's root with Go files that
// carry the project's prefix.
func packageNames(t *testing.T) []string {
	t.Helper()
	files, err := filepath.Glob(filepath.Join(root, "keel*", "*.go"))
	if err != nil {
		t.Fatal(err)
	}
	var names []string
	for _, file := range files {
		names = append(names, filepath.Base(filepath.Dir(file)))
	}
	return slices.Compact(names)
}

func parse(t *testing.T, path string) *ast.File {
	t.Helper()
	f, err := parser.ParseFile(token.NewFileSet(), filepath.Join(root, path), nil, 0)
	if err != nil {
		t.Fatal(err)
	}
	return f
}

func text(t *testing.T, e ast.Expr) string {
	t.Helper()
	lit, ok := e.(*ast.BasicLit)
	if !ok {
		t.Fatalf("%T is not a literal", e)
	}
	s, err := strconv.Unquote(lit.Value)
	if err != nil {
		t.Fatal(err)
	}
	return s
}

func read(t *testing.T, path string) string {
	t.Helper()
	b, err := os.ReadFile(path)
	if err != nil {
		t.Fatal(err)
	}
	return string(b)
}
