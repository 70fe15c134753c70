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

func TestMetricsAreDescribed(t *testing.T) {
	is := is.New(t)
	page := read(t, filepath.Join(root, "docs", "operate", "metrics.md"))
	names := metricNames(t, filepath.Join(root, "keelinstance", "metrics.go"))
	is.True(len(names) > 0) // the metrics are found in the source
	for _, name := range names {
		is.True(strings.Contains(page, "| `keel_"+name+"` |")) // every metric has a row
	}
}

func TestReasonsAreDescribed(t *testing.T) {
	is := is.New(t)
	page := read(t, filepath.Join(root, "docs", "INTERFACES.md"))
	reasons := typedConstants(t, filepath.Join(root, "refusal.go"), "Reason")
	is.True(len(reasons) > 0) // the reasons are found in the source
	for _, reason := range reasons {
		is.True(strings.Contains(page, "| `"+reason+"` |")) // every reason has a row
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

// typedConstants returns the values of the string constants of one type.
func typedConstants(t *testing.T, path, typeName string) []string {
	t.Helper()
	var values []string
	ast.Inspect(parse(t, path), func(n ast.Node) bool {
		spec, ok := n.(*ast.ValueSpec)
		if !ok {
			return true
		}
		if of, ok := spec.Type.(*ast.Ident); ok && of.Name == typeName {
			for _, v := range spec.Values {
				values = append(values, text(t, v))
			}
		}
		return true
	})
	return values
}

func parse(t *testing.T, path string) *ast.File {
	t.Helper()
	f, err := parser.ParseFile(token.NewFileSet(), path, nil, 0)
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
