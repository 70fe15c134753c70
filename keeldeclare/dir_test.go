package keeldeclare_test

import (
	"os"
	"path/filepath"
	"slices"
	"strings"
	"testing"

	keel "github.com/greengagekeel/greengagekeel"
	"github.com/greengagekeel/greengagekeel/keeldeclare"
	"github.com/matryer/is"
	"pgregory.net/rapid"
)

func TestExamples(t *testing.T) {
	classes := keel.Classes()
	for _, user := range []string{"teranga", "sampaguita"} {
		t.Run(user, func(t *testing.T) {
			is := is.New(t)
			dir := filepath.Join("..", "examples", user, "declarations")
			d, err := keeldeclare.LoadDir(dir)
			is.NoErr(err)
			is.Equal(len(d.Regions), 3)
			is.Equal(len(d.Domains), 6)
			is.Equal(len(d.Links), 6)
			is.Equal(len(d.Services), 4)
			is.Equal(len(d.Instances), 18)
			for _, c := range classes {
				is.True(slices.ContainsFunc(d.Selectors, func(s keel.Selector) bool { return s.Class == c }))
			}
			for _, l := range d.Links { // the shares of a link add up to at most 100 percent
				share := l.ReservePercent
				for _, s := range d.Selectors {
					share += s.LinkSharePercent * (100 - l.ReservePercent) / 100
				}
				is.True(share <= 100.001)
			}
			out := t.TempDir()
			is.NoErr(keeldeclare.WriteDir(out, d))
			for _, f := range []string{"selectors.json", "blocks.json", "links.json"} {
				want, err := os.ReadFile(filepath.Join(out, f))
				is.NoErr(err)
				got, err := os.ReadFile(filepath.Join(dir, f))
				is.NoErr(err)
				is.Equal(string(got), string(want)) // the example is in canonical form
			}
		})
	}
}

func TestLoadDirFaults(t *testing.T) {
	regions := `{"regions": [{"name": "dakar"}, {"name": "thies"}]}`
	tests := []struct {
		name  string
		files map[string]string
		want  string
	}{
		{"unknown field", map[string]string{"a.json": `{"regoins": []}`}, `a.json: regoins: json: unknown field "regoins"`},
		{"wrong type", map[string]string{"a.json": `{"regions": [{"name": 5}]}`}, "a.json: regions.name: has a JSON number"},
		{"two values", map[string]string{"a.json": `{} {}`}, "a.json: $: has data after"},
		{"torn", map[string]string{"a.json": `{"regions": [`}, "a.json: $: unexpected EOF"},
		{"position in its file", map[string]string{
			"a.json": regions, "b.json": `{"domains": [{"name": "x", "region": "dakar"}]}`,
			"c.json": `{"domains": [{"name": "y", "region": "thies"}, {"name": "z", "region": "lost"}]}`,
		}, `c.json: domains[1].region: "lost" is not declared`},
		{"twice in two files", map[string]string{"a.json": regions, "b.json": `{}`, "c.json": `{"regions": [{"name": "thies"}]}`}, `c.json: regions[0].name: "thies" is declared twice`},
		{"bad percentage", map[string]string{"a.json": `{"services": [{"name": "s", "announce_from": ["10.0.0.0/8"]}],
			"selectors": [{"name": "s", "service": "s", "class": "live", "cap": {"percent": 101, "window": "10s"}, "deadline": "1s"}]}`}, "a.json: selectors[0].cap.percent: is 101"},
		{"bad class", map[string]string{"a.json": `{"selectors": [{"name": "s", "class": "fast"}]}`}, `"fast" is not a class`},
		{"bad window", map[string]string{"a.json": `{"selectors": [{"name": "s", "cap": {"window": "soon"}}]}`}, `"soon" is not a duration`},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			dir := t.TempDir()
			for name, data := range tt.files {
				is.NoErr(os.WriteFile(filepath.Join(dir, name), []byte(data), 0o600))
			}
			_, err := keeldeclare.LoadDir(dir)
			is.True(err != nil)
			if !strings.Contains(err.Error(), tt.want) {
				t.Fatalf("error is %q, want it to contain %q", err, tt.want)
			}
		})
	}
}

// drawDeclarations draws valid declarations in random order.
func drawDeclarations(t *rapid.T) *keel.Declarations {
	d := &keel.Declarations{}
	regions := rapid.Permutation([]keel.RegionName{"dakar", "louga", "thies"}).Draw(t, "regions")
	for _, r := range regions[:rapid.IntRange(1, 3).Draw(t, "n")] {
		d.Regions = append(d.Regions, keel.Region{Name: r})
		dom := keel.FailureDomain{Name: keel.DomainName(r + "-a"), Region: r}
		d.Domains = append(d.Domains, dom)
		site := keel.Site{Name: keel.SiteName(r + "-hall"), Domain: dom.Name}
		d.Sites = append(d.Sites, site)
		if rapid.Bool().Draw(t, "block") {
			d.Blocks = append(d.Blocks, keel.ClientBlock{Prefix: block24(rapid.IntRange(0, 3).Draw(t, "p")*10 + len(d.Sites)), Sites: []keel.SiteName{site.Name}})
		}
		if rapid.Bool().Draw(t, "label") {
			d.Labels = append(d.Labels, keel.LabelRule{Name: "l-" + string(r), Target: keel.TargetDomain, Names: []string{string(dom.Name)}, Set: keel.Labels{keel.LabelDrain: rapid.SampledFrom([]string{"true", "false"}).Draw(t, "on")}})
		}
		if rapid.Bool().Draw(t, "instance") {
			d.Instances = append(d.Instances, keel.RegisteredInstance{Name: keel.InstanceName(r + "-1"), Domain: dom.Name})
		}
	}
	return d
}

func TestDiffApplyRoundTrip(t *testing.T) {
	dir := t.TempDir()
	rapid.Check(t, func(t *rapid.T) {
		from, to := drawDeclarations(t), drawDeclarations(t)
		ops := keeldeclare.Diff(from, to)
		got, err := keeldeclare.ApplyOps(from, ops)
		if err != nil {
			t.Fatalf("apply: %v", err)
		}
		if rest := keeldeclare.Diff(got, to); len(rest) > 0 {
			t.Fatalf("applying the diff leaves differences: %+v", rest)
		}
		if err := keeldeclare.WriteDir(dir, to); err != nil {
			t.Fatalf("write: %v", err)
		}
		back, err := keeldeclare.LoadDir(dir)
		if err != nil {
			t.Fatalf("load: %v", err)
		}
		if rest := keeldeclare.Diff(back, to); len(rest) > 0 {
			t.Fatalf("differences after writing and loading a folder: %+v", rest)
		}
		a := &applier{tb: t, m: keeldeclare.NewMachine(keeldeclare.MachineConfig{})}
		a.apply(keeldeclare.Diff(&keel.Declarations{}, from)...)
		if len(ops) > 0 {
			a.apply(ops...)
		}
		if rest := keeldeclare.Diff(a.m.Current().FullDeclarations(), to); len(rest) > 0 {
			t.Fatalf("differences after applying to a machine: %+v", rest)
		}
	})
}

func TestWriteDirRefusesOtherFiles(t *testing.T) {
	is := is.New(t)
	dir := t.TempDir()
	is.NoErr(os.WriteFile(filepath.Join(dir, "mine.json"), []byte(`{}`), 0o600))
	err := keeldeclare.WriteDir(dir, &keel.Declarations{})
	is.True(err != nil)
	is.True(strings.Contains(err.Error(), "mine.json"))
}
