package keelconfig

import (
	"os"
	"path/filepath"

	"github.com/go-faster/errors"
	keel "github.com/greengagekeel/greengagekeel"
)

// Load reads settings from a file, takes fields that the file leaves out from
// [Default], and checks the result. Relative paths are resolved against the
// folder of the file. The error for invalid settings is [keel.Faults], which
// name the file and the field.
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
	s.Keys = resolvePath(dir, s.Keys)
	s.DataDir = resolvePath(dir, s.DataDir)
	s.Log.File = resolvePath(dir, s.Log.File)
	return s, nil
}

// Parse decodes settings, takes fields that data leaves out from [Default], and
// checks the result. Unlike [Load] it does not resolve relative paths.
func Parse(data []byte) (*Settings, error) {
	s := Default()
	if err := keel.DecodeJSON(data, &s); err != nil {
		return nil, err
	}
	return &s, nil
}

func resolvePath(dir, path string) string {
	if path == "" || filepath.IsAbs(path) {
		return path
	}
	return filepath.Join(dir, path)
}
