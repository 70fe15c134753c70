package keelconfig

import (
	"os"
	"path/filepath"

	"github.com/go-faster/errors"
	keel "github.com/greengagekeel/greengagekeel"
)

// Load reads settings from a file over those of [Default] and checks them. Bad
// settings give [keel.Faults] that name the file and the field.
func Load(file string) (*Settings, error) {
	data, err := os.ReadFile(file)
	if err != nil {
		return nil, errors.Wrap(err, "read settings")
	}
	s, err := Parse(data)
	var faults keel.Faults
	if errors.As(err, &faults) {
		return nil, faults.InFile(file)
	}
	if err != nil {
		return nil, errors.Wrapf(err, "read settings from %s", file)
	}
	dir := filepath.Dir(file)
	s.Keys = under(dir, s.Keys)
	s.DataDir = under(dir, s.DataDir)
	s.Log.File = under(dir, s.Log.File)
	return s, nil
}

// Parse decodes settings over those of [Default] and checks them. Paths stay as
// they are.
func Parse(data []byte) (*Settings, error) {
	s := Default()
	if err := keel.DecodeJSON(data, &s); err != nil {
		return nil, err
	}
	return &s, nil
}

func under(dir, path string) string {
	if path == "" || filepath.IsAbs(path) {
		return path
	}
	return filepath.Join(dir, path)
}
