package keel

import (
	"fmt"
	"strings"
)

// Fault is one reason why an external value is invalid.
type Fault struct {
	// File names the file that the value came from. It is empty if the value
	// did not come from a file.
	File string `json:"file,omitempty"`
	// Field is the path of the field inside the value, such as
	// "selectors[2].cap.percent".
	Field string `json:"field"`
	// Reason describes what is wrong with the field, in plain text.
	Reason string `json:"reason"`
}

// Error returns the file, the field and the reason in one line.
func (f Fault) Error() string {
	if f.File == "" {
		return fmt.Sprintf("%s: %s", f.Field, f.Reason)
	}
	return fmt.Sprintf("%s: %s: %s", f.File, f.Field, f.Reason)
}

// Faults lists all faults of a value. An empty list means that the value is
// valid.
type Faults []Fault

// Error returns one fault per line.
func (fs Faults) Error() string {
	lines := make([]string, len(fs))
	for i, f := range fs {
		lines[i] = f.Error()
	}
	return strings.Join(lines, "\n")
}

// Err returns fs as an error, or nil if fs is empty.
func (fs Faults) Err() error {
	if len(fs) == 0 {
		return nil
	}
	return fs
}

// Add appends a fault about field; format and args give the reason.
func (fs *Faults) Add(field, format string, args ...any) {
	*fs = append(*fs, Fault{Field: field, Reason: fmt.Sprintf(format, args...)})
}

// Under appends the faults of a nested value, with prefix prepended to their field
// paths.
func (fs *Faults) Under(prefix string, nested Faults) {
	for _, f := range nested {
		f.Field = joinPath(prefix, f.Field)
		*fs = append(*fs, f)
	}
}

// InFile returns a copy of fs with the file of every fault set to file.
func (fs Faults) InFile(file string) Faults {
	out := make(Faults, len(fs))
	for i, f := range fs {
		f.File = file
		out[i] = f
	}
	return out
}

// joinPath joins two field paths.
func joinPath(prefix, field string) string {
	switch {
	case prefix == "":
		return field
	case field == "" || strings.HasPrefix(field, "["):
		return prefix + field
	default:
		return prefix + "." + field
	}
}
