package keel

import "fmt"

// Names identify the objects that operators declare and that instances and
// endpoints announce. A valid name has 1 to [MaxNameLength] bytes out of a-z,
// 0-9, '-', '_' and '.', and starts with a letter or a digit.
type (
	// InstanceName names one process of the system.
	InstanceName string
	// DomainName names a failure domain.
	DomainName string
	// RegionName names a region, a group of failure domains.
	RegionName string
	// SiteName names a location of endpoints inside a failure domain.
	SiteName string
	// ServiceName names a service, which endpoints serve.
	ServiceName string
	// EndpointName names an endpoint within its service.
	EndpointName string
	// SelectorName names a selector.
	SelectorName string
	// ChangeID identifies one change of the declarations. The author chooses
	// it and uses the same one when it resends the change.
	ChangeID string
)

// MaxNameLength is the length limit of a name, in bytes.
const MaxNameLength = 63

// CheckName returns a fault of field if name is not valid.
func CheckName[T ~string](field string, name T) Faults {
	var fs Faults
	if reason := nameFault(string(name)); reason != "" {
		fs.Add(field, "%s", reason)
	}
	return fs
}

// nameFault returns what is wrong with a name, or "" if it is valid.
func nameFault(s string) string {
	if s == "" {
		return "must not be empty"
	}
	if len(s) > MaxNameLength {
		return fmt.Sprintf("has %d bytes, the limit is %d", len(s), MaxNameLength)
	}
	for i := range len(s) {
		if !isNameByte(s[i], i == 0) {
			return fmt.Sprintf("has the character %q at position %d; allowed are a-z, 0-9, '-', '_' and '.', the first a letter or digit", s[i], i)
		}
	}
	return ""
}

func isNameByte(c byte, first bool) bool {
	switch {
	case c >= 'a' && c <= 'z', c >= '0' && c <= '9':
		return true
	case c == '-', c == '_', c == '.':
		return !first
	default:
		return false
	}
}
