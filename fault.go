package keel

import (
	"fmt"
	"strings"
)

// Fault is one reason why a value from outside was not accepted.
type Fault struct {
	// File names the file that the value came from. It is empty if the value
	// did not come from a file.
	File string `json:"file,omitempty"`
	// Field is the path of the field inside the value, such as
	// "selectors[2].cap.percent".
	Field string `json:"field"`
	// Reason says in words what is wrong with the field.
	Reason string `json:"reason"`
}

// Error returns the file, the field and the reason on one line.
func (f Fault) Error() string {
	if f.File == "" {
		return fmt.Sprintf("%s: %s", f.Field, f.Reason)
	}
	return fmt.Sprintf("%s: %s: %s", f.File, f.Field, f.Reason)
}

// Faults lists everything that is wrong with a value. An empty list means that
// the value is valid.
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

// Under appends the faults of a nested value, with prefix before their fields.
func (fs *Faults) Under(prefix string, nested Faults) {
	for _, f := range nested {
		f.Field = joinField(prefix, f.Field)
		*fs = append(*fs, f)
	}
}

// InFile returns a copy of fs in which every fault names file.
func (fs Faults) InFile(file string) Faults {
	out := make(Faults, len(fs))
	for i, f := range fs {
		f.File = file
		out[i] = f
	}
	return out
}

func joinField(prefix, field string) string {
	switch {
	case prefix == "":
		return field
	case field == "" || strings.HasPrefix(field, "["):
		return prefix + field
	default:
		return prefix + "." + field
	}
}
