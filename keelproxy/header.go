package keelproxy

import (
	"slices"
	"strings"
)

// hopByHop lists fields that concern one connection only, in lower case.
var hopByHop = []string{
	"connection", "keep-alive", "proxy-authenticate", "proxy-authorization",
	"proxy-connection", "te", "trailer", "transfer-encoding", "upgrade",
	"content-length", "expect",
}

// headerFilter collects the fields that go on to the next process.
type headerFilter struct {
	// named lists the fields that the Connection field names.
	named  []string
	fields []Field
}

// newHeaderFilter returns a filter for a message whose Connection field has the
// given value.
func newHeaderFilter(connection string) headerFilter {
	var f headerFilter
	for name := range strings.SplitSeq(connection, ",") {
		name = strings.ToLower(strings.TrimSpace(name))
		if name != "" {
			f.named = append(f.named, name)
		}
	}
	return f
}

func (f *headerFilter) add(name, value []byte) {
	lower := strings.ToLower(string(name))
	if slices.Contains(hopByHop, lower) || slices.Contains(f.named, lower) {
		return
	}
	f.fields = append(f.fields, Field{Name: string(name), Value: string(value)})
}

// Lookup returns the first value of the field name, in any case.
func Lookup(fields []Field, name string) (string, bool) {
	for _, f := range fields {
		if strings.EqualFold(f.Name, name) {
			return f.Value, true
		}
	}
	return "", false
}

// without returns fields less every field of that name.
func without(fields []Field, name string) []Field {
	return slices.DeleteFunc(slices.Clone(fields), func(f Field) bool {
		return strings.EqualFold(f.Name, name)
	})
}
