package keeldeclare

import (
	"bytes"
	"encoding/json"
	"io/fs"
	"os"
	"path"
	"path/filepath"
	"slices"
	"strconv"
	"strings"

	"github.com/go-faster/errors"
	"github.com/google/renameio/v2"
	keel "github.com/greengagekeel/greengagekeel"
)

const (
	jsonSuffix          = ".json"
	rootField           = "$"
	declarationFilePerm = 0o644
	declarationDirPerm  = 0o755
)

// fileDeclarations is the content of one file. Because it may refer to names
// that other files declare, it is checked only after all files are merged.
type fileDeclarations keel.Declarations

// Check implements [keel.Checker]. It reports no faults.
func (*fileDeclarations) Check() keel.Faults { return nil }

// LoadDir reads every file of the folder whose name ends in .json and returns
// the merged declarations in canonical form. If they are invalid, it returns
// [keel.Faults] that name the file and the field.
func LoadDir(dir string) (*keel.Declarations, error) { return LoadFS(os.DirFS(dir), ".") }

// LoadFS is like [LoadDir] for a folder of a file system.
func LoadFS(fsys fs.FS, dir string) (*keel.Declarations, error) {
	entries, err := fs.ReadDir(fsys, dir)
	if err != nil {
		return nil, errors.Wrap(err, "read declarations")
	}
	var l dirLoader
	for _, e := range entries {
		if e.IsDir() || path.Ext(e.Name()) != jsonSuffix {
			continue
		}
		data, err := fs.ReadFile(fsys, path.Join(dir, e.Name()))
		if err != nil {
			return nil, errors.Wrap(err, "read declarations")
		}
		l.add(e.Name(), data)
	}
	return l.finish()
}

// ParseFile decodes the content of one declaration file. It does not check
// references to other objects.
func ParseFile(name string, data []byte) (*keel.Declarations, error) {
	var f fileDeclarations
	err := keel.DecodeJSON(data, &f)
	var faults keel.Faults
	if errors.As(err, &faults) {
		return nil, faults.InFile(name)
	}
	if err != nil {
		return nil, errors.Wrapf(err, "file %s", name)
	}
	return (*keel.Declarations)(&f), nil
}

// dirLoader merges files and records which file each declared object is from.
type dirLoader struct {
	merged keel.Declarations
	files  []string
	// starts holds, for each merged list, the index of the first element of
	// each file.
	starts map[string][]int
	faults keel.Faults
}

func (l *dirLoader) add(name string, data []byte) {
	d, err := ParseFile(name, data)
	if err != nil {
		var faults keel.Faults
		if !errors.As(err, &faults) {
			faults = keel.Faults{{File: name, Field: rootField, Reason: err.Error()}}
		}
		l.faults = append(l.faults, faults...)
		return
	}
	if l.starts == nil {
		l.starts = map[string][]int{}
	}
	l.files = append(l.files, name)
	m := &l.merged
	m.Regions = appendList(l, "regions", m.Regions, d.Regions)
	m.Domains = appendList(l, "domains", m.Domains, d.Domains)
	m.Sites = appendList(l, "sites", m.Sites, d.Sites)
	m.Links = appendList(l, "links", m.Links, d.Links)
	m.Services = appendList(l, "services", m.Services, d.Services)
	m.Selectors = appendList(l, "selectors", m.Selectors, d.Selectors)
	m.Labels = appendList(l, "labels", m.Labels, d.Labels)
	m.Blocks = appendList(l, "blocks", m.Blocks, d.Blocks)
	m.Instances = appendList(l, "instances", m.Instances, d.Instances)
}

func appendList[T any](l *dirLoader, list string, all, more []T) []T {
	l.starts[list] = append(l.starts[list], len(all))
	return append(all, more...)
}

func (l *dirLoader) finish() (*keel.Declarations, error) {
	if len(l.faults) > 0 {
		return nil, l.faults
	}
	for _, f := range l.merged.Check() {
		l.faults = append(l.faults, l.locate(f))
	}
	if err := l.faults.Err(); err != nil {
		return nil, err
	}
	l.merged.Sort()
	return &l.merged, nil
}

// locate converts the index in a merged list to a file and the index in that
// file.
func (l *dirLoader) locate(f keel.Fault) keel.Fault {
	list, rest, ok := strings.Cut(f.Field, "[")
	number, rest, ok2 := strings.Cut(rest, "]")
	pos, err := strconv.Atoi(number)
	starts := l.starts[list]
	if !ok || !ok2 || err != nil || len(starts) == 0 {
		return f
	}
	i, found := slices.BinarySearch(starts, pos)
	if !found {
		i--
	}
	for i+1 < len(starts) && starts[i+1] == starts[i] {
		i++ // skip files that declare none of the kind
	}
	f.File = l.files[i]
	f.Field = list + "[" + strconv.Itoa(pos-starts[i]) + "]" + rest
	return f
}

// canonicalFile is one of the files written by [WriteDir].
type canonicalFile struct {
	name  string
	part  keel.Declarations
	empty bool
}

func canonicalFiles(d *keel.Declarations) []canonicalFile {
	return []canonicalFile{
		{"regions.json", keel.Declarations{Regions: d.Regions}, len(d.Regions) == 0},
		{"domains.json", keel.Declarations{Domains: d.Domains}, len(d.Domains) == 0},
		{"sites.json", keel.Declarations{Sites: d.Sites}, len(d.Sites) == 0},
		{"links.json", keel.Declarations{Links: d.Links}, len(d.Links) == 0},
		{"services.json", keel.Declarations{Services: d.Services}, len(d.Services) == 0},
		{"selectors.json", keel.Declarations{Selectors: d.Selectors}, len(d.Selectors) == 0},
		{"labels.json", keel.Declarations{Labels: d.Labels}, len(d.Labels) == 0},
		{"blocks.json", keel.Declarations{Blocks: d.Blocks}, len(d.Blocks) == 0},
		{"instances.json", keel.Declarations{Instances: d.Instances}, len(d.Instances) == 0},
	}
}

// WriteDir writes the declarations in canonical form, with one file for each
// kind. It removes the files of kinds of which nothing is declared. It fails if
// the folder contains other JSON files, because [LoadDir] would read those as
// well.
func WriteDir(dir string, d *keel.Declarations) error {
	if err := os.MkdirAll(dir, declarationDirPerm); err != nil {
		return errors.Wrap(err, "write declarations")
	}
	sorted := canonical(d)
	files := canonicalFiles(sorted)
	if err := refuseOtherFiles(dir, files); err != nil {
		return err
	}
	for _, f := range files {
		if err := f.write(dir); err != nil {
			return errors.Wrap(err, "write declarations")
		}
	}
	return nil
}

// refuseOtherFiles returns an error if the folder contains a JSON file that is
// not among files.
func refuseOtherFiles(dir string, files []canonicalFile) error {
	entries, err := os.ReadDir(dir)
	if err != nil {
		return errors.Wrap(err, "write declarations")
	}
	for _, e := range entries {
		known := slices.ContainsFunc(files, func(f canonicalFile) bool { return f.name == e.Name() })
		if !known && filepath.Ext(e.Name()) == jsonSuffix {
			return errors.Errorf("folder %s contains %s, which is not one of the files to be written", dir, e.Name())
		}
	}
	return nil
}

func (f *canonicalFile) write(dir string) error {
	path := filepath.Join(dir, f.name)
	if f.empty {
		if err := os.Remove(path); err != nil && !errors.Is(err, os.ErrNotExist) {
			return err
		}
		return nil
	}
	var buf bytes.Buffer
	enc := json.NewEncoder(&buf)
	enc.SetEscapeHTML(false)
	enc.SetIndent("", "\t")
	if err := enc.Encode(&f.part); err != nil {
		return err
	}
	return renameio.WriteFile(path, buf.Bytes(), declarationFilePerm)
}

// canonical returns a copy of d whose lists are sorted.
func canonical(d *keel.Declarations) *keel.Declarations {
	out := &keel.Declarations{
		Regions:   slices.Clone(d.Regions),
		Domains:   slices.Clone(d.Domains),
		Sites:     slices.Clone(d.Sites),
		Links:     slices.Clone(d.Links),
		Services:  slices.Clone(d.Services),
		Selectors: slices.Clone(d.Selectors),
		Labels:    slices.Clone(d.Labels),
		Blocks:    slices.Clone(d.Blocks),
		Instances: slices.Clone(d.Instances),
	}
	out.Sort()
	return out
}
