package keel

import (
	"bytes"
	"encoding/json"
	"maps"
	"reflect"
	"slices"
	"strconv"
)

// faultyField returns the path of the first field whose value v refuses to
// decode, or "$" if data is no JSON at all. The JSON library does not tell the
// field if a type's own decoding fails, nor if the field is unknown. So each
// value is decoded once more on its own; this happens only after an error.
func faultyField(data []byte, v Checker) string {
	s := fieldSearch{target: reflect.TypeOf(v).Elem()}
	if path := s.find(data, 0, func(raw json.RawMessage) json.RawMessage { return raw }); path != "" {
		return path
	}
	return "$"
}

// maxFieldDepth bounds how deep a faulty value is looked for, since each level
// decodes the document again.
const maxFieldDepth = 8

// fieldSearch looks for a value that a type does not decode.
type fieldSearch struct{ target reflect.Type }

// wrapper puts a value back in its place inside an otherwise empty document.
type wrapper func(json.RawMessage) json.RawMessage

// find returns the path below raw of the first value that fails, or "" if none
// fails or raw has no values inside.
func (s fieldSearch) find(raw json.RawMessage, depth int, wrap wrapper) string {
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

func (s fieldSearch) findField(fields map[string]json.RawMessage, depth int, wrap wrapper) string {
	for _, name := range slices.Sorted(maps.Keys(fields)) {
		inner := func(raw json.RawMessage) json.RawMessage {
			object, _ := json.Marshal(map[string]json.RawMessage{name: raw}) // raw was valid JSON
			return wrap(object)
		}
		switch {
		case !s.fails(inner(fields[name])):
		case s.fails(inner(hollow(fields[name]))):
			return name // the field is unknown, or takes no such value at all
		default:
			return joinField(name, s.find(fields[name], depth+1, inner))
		}
	}
	return ""
}

func (s fieldSearch) findItem(items []json.RawMessage, depth int, wrap wrapper) string {
	for i, item := range items {
		inner := func(raw json.RawMessage) json.RawMessage {
			array, _ := json.Marshal([]json.RawMessage{raw}) // raw was valid JSON
			return wrap(array)
		}
		if s.fails(inner(item)) {
			return joinField("["+strconv.Itoa(i)+"]", s.find(item, depth+1, inner))
		}
	}
	return ""
}

func (s fieldSearch) fails(document json.RawMessage) bool {
	dec := json.NewDecoder(bytes.NewReader(document))
	dec.DisallowUnknownFields()
	return dec.Decode(reflect.New(s.target).Interface()) != nil
}

// hollow returns a value of the same kind that holds nothing.
func hollow(raw json.RawMessage) json.RawMessage {
	switch raw[0] {
	case '{':
		return json.RawMessage("{}")
	case '[':
		return json.RawMessage("[]")
	default:
		return json.RawMessage("null")
	}
}
