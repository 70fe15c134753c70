package keel

import "fmt"

// Names identify the things that operators declare and that instances and
// endpoints announce. A valid name has 1 to [MaxNameLength] bytes out of a-z,
// 0-9, '-', '_' and '.', and starts with a letter or a digit.
type (
	// InstanceName names one process of the system.
	InstanceName string
	// DomainName names a failure domain.
	DomainName string
	// RegionName names a region, a group of failure domains.
	RegionName string
	// SiteName names a place inside a failure domain where endpoints stand.
	SiteName string
	// ServiceName names a service that endpoints offer.
	ServiceName string
	// EndpointName names an endpoint within its service.
	EndpointName string
	// SelectorName names a selector.
	SelectorName string
	// ChangeID identifies one change of the declarations. Its author chooses
	// it, and sends it again when it resends the change.
	ChangeID string
)

// MaxNameLength is the length limit of a name, in bytes.
const MaxNameLength = 63

// CheckName reports what is wrong with a name, or nothing.
func CheckName[T ~string](field string, name T) Faults {
	var fs Faults
	if reason := nameReason(string(name)); reason != "" {
		fs.Add(field, "%s", reason)
	}
	return fs
}

func nameReason(s string) string {
	if s == "" {
		return "must not be empty"
	}
	if len(s) > MaxNameLength {
		return fmt.Sprintf("has %d bytes, the limit is %d", len(s), MaxNameLength)
	}
	for i := range len(s) {
		if !nameByte(s[i], i == 0) {
			return fmt.Sprintf("has the character %q at position %d; allowed are a-z, 0-9, '-', '_' and '.', the first a letter or digit", s[i], i)
		}
	}
	return ""
}

func nameByte(c byte, first bool) bool {
	switch {
	case c >= 'a' && c <= 'z', c >= '0' && c <= '9':
		return true
	case c == '-', c == '_', c == '.':
		return !first
	default:
		return false
	}
}
