package keel

import (
	"bytes"
	"encoding/json"
	"maps"
	"reflect"
	"slices"
	"strconv"
)

// findFaultyField returns the path of the first field that can't be decoded into
// the type of v, or "$" if data is not valid JSON. The errors of encoding/json
// hold no path if a type's own unmarshaller fails or the field is unknown.
// Therefore each value is decoded again separately; this happens only after an
// error.
func findFaultyField(data []byte, v Checker) string {
	s := fieldSearch{target: reflect.TypeOf(v).Elem()}
	if path := s.find(data, 0, func(raw json.RawMessage) json.RawMessage { return raw }); path != "" {
		return path
	}
	return "$"
}

// maxFieldDepth is the nesting depth down to which a faulty field is searched,
// since each level decodes the document again.
const maxFieldDepth = 8

// fieldSearch searches a document for a value that can't be decoded into the
// target type.
type fieldSearch struct{ target reflect.Type }

// wrapFunc returns a document in which the given value is at its original path
// and everything else is left out.
type wrapFunc func(json.RawMessage) json.RawMessage

// find returns the path, relative to raw, of the first nested value that fails
// to decode. It returns "" if none fails or raw has no nested values.
func (s fieldSearch) find(raw json.RawMessage, depth int, wrap wrapFunc) string {
	if depth == maxFieldDepth {
		return ""
	}
	var fields map[string]json.RawMessage
	if json.Unmarshal(raw, &fields) == nil {
		return s.findField(fields, depth, wrap)
	}
	var items []json.RawMessage
	if json.Unmarshal(raw, &items) == nil {
		return s.findItem(items, depth, wrap)
	}
	return ""
}

func (s fieldSearch) findField(fields map[string]json.RawMessage, depth int, wrap wrapFunc) string {
	for _, name := range slices.Sorted(maps.Keys(fields)) {
		inner := func(raw json.RawMessage) json.RawMessage {
			object, _ := json.Marshal(map[string]json.RawMessage{name: raw}) // raw was valid JSON
			return wrap(object)
		}
		switch {
		case !s.fails(inner(fields[name])):
		case s.fails(inner(emptyValue(fields[name]))):
			return name // unknown field, or no value of this JSON type fits
		default:
			return joinPath(name, s.find(fields[name], depth+1, inner))
		}
	}
	return ""
}

func (s fieldSearch) findItem(items []json.RawMessage, depth int, wrap wrapFunc) string {
	for i, item := range items {
		inner := func(raw json.RawMessage) json.RawMessage {
			array, _ := json.Marshal([]json.RawMessage{raw}) // raw was valid JSON
			return wrap(array)
		}
		if s.fails(inner(item)) {
			return joinPath("["+strconv.Itoa(i)+"]", s.find(item, depth+1, inner))
		}
	}
	return ""
}

// fails reports whether the document can't be decoded into the target type.
func (s fieldSearch) fails(document json.RawMessage) bool {
	dec := json.NewDecoder(bytes.NewReader(document))
	dec.DisallowUnknownFields()
	return dec.Decode(reflect.New(s.target).Interface()) != nil
}

// emptyValue returns an empty object or array if raw is one, otherwise null.
func emptyValue(raw json.RawMessage) json.RawMessage {
	switch raw[0] {
	case '{':
		return json.RawMessage("{}")
	case '[':
		return json.RawMessage("[]")
	default:
		return json.RawMessage("null")
	}
}
