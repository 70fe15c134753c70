package keelproxy

import "strings"

// hopByHop lists fields that concern one connection only, in lower case.
var hopByHop = []string{
	"connection", "keep-alive", "proxy-authenticate", "proxy-authorization",
	"proxy-connection", "te", "trailer", "transfer-encoding", "upgrade",
	"content-length", "expect",
}

// headerFilter collects the fields that go on to the next process.
type headerFilter struct {
	// own lists the fields that are meant for this process.
	own []string
	// named lists the fields that the Connection field names.
	named  []string
	texts  *arena
	fields []Field
}

// newHeaderFilter returns a filter for a message whose Connection field has the
// given value. Fields named in own are left out, too. The fields are appended to
// fields, and their texts are kept in texts.
func newHeaderFilter(connection string, own []string, texts *arena, fields []Field) headerFilter {
	f := headerFilter{own: own, texts: texts, fields: fields}
	if connection == "" {
		return f
	}
	for name := range strings.SplitSeq(connection, ",") {
		name = strings.ToLower(strings.TrimSpace(name))
		if name != "" {
			f.named = append(f.named, name)
		}
	}
	return f
}

func (f *headerFilter) add(name, value []byte) {
	if matchesAny(hopByHop, name) || matchesAny(f.own, name) || matchesAny(f.named, name) {
		return
	}
	f.fields = append(f.fields, Field{Name: f.texts.text(name), Value: f.texts.text(value)})
}

// matchesAny reports whether name is in list, in any case.
func matchesAny(list []string, name []byte) bool {
	for _, s := range list {
		if len(s) == len(name) && strings.EqualFold(s, string(name)) {
			return true
		}
	}
	return false
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
