package keelproxy

import "strings"

// hopByHop lists the fields that apply to a single connection, and those that
// fasthttp handles or sets itself, in lower case.
var hopByHop = []string{
	"connection", "keep-alive", "proxy-authenticate", "proxy-authorization",
	"proxy-connection", "te", "trailer", "transfer-encoding", "upgrade",
	"content-length", "expect",
}

// headerFilter collects the header fields that are passed on.
type headerFilter struct {
	// internal lists further fields that are not passed on.
	internal []string
	// listed holds the field names in the Connection field, in lower case.
	listed map[string]bool
	texts  *arena
	fields []Field
}

// newHeaderFilter returns a filter for a message whose Connection field has the
// given value. Fields named in internal are dropped as well. The remaining ones
// are appended to fields, with their names and values in texts.
func newHeaderFilter(connection string, internal []string, texts *arena, fields []Field) headerFilter {
	f := headerFilter{internal: internal, texts: texts, fields: fields}
	if connection == "" {
		return f
	}
	for name := range strings.SplitSeq(connection, ",") {
		name = strings.ToLower(strings.TrimSpace(name))
		if name == "" {
			continue
		}
		if f.listed == nil {
			f.listed = make(map[string]bool)
		}
		f.listed[name] = true
	}
	return f
}

func (f *headerFilter) add(name, value []byte) {
	if matchesAny(hopByHop, name) || matchesAny(f.internal, name) || f.isListed(name) {
		return
	}
	f.fields = append(f.fields, Field{Name: f.texts.copyString(name), Value: f.texts.copyString(value)})
}

// isListed reports whether the Connection field lists a name. It may list thousands, so that a
// search for each field would take the square of their number.
func (f *headerFilter) isListed(name []byte) bool {
	return len(f.listed) > 0 && f.listed[strings.ToLower(string(name))]
}

// matchesAny reports whether name is in list, ignoring case.
func matchesAny(list []string, name []byte) bool {
	for _, s := range list {
		if len(s) == len(name) && strings.EqualFold(s, string(name)) {
			return true
		}
	}
	return false
}

// HeaderValue returns the first value of the field name, ignoring case.
func HeaderValue(fields []Field, name string) (string, bool) {
	for _, f := range fields {
		if strings.EqualFold(f.Name, name) {
			return f.Value, true
		}
	}
	return "", false
}
