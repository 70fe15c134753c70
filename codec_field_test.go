package keel_test

import (
	"strings"
	"testing"

	"github.com/go-faster/errors"
	keel "github.com/greengagekeel/greengagekeel"
	"github.com/matryer/is"
)

// encoding/json omits the field from some errors; the faults of DecodeJSON name
// it in all cases.
func TestDecodeJSONNamesField(t *testing.T) {
	deep := strings.Repeat("[", 9000) + strings.Repeat("]", 9000)
	for _, tt := range []struct{ name, data, field, reason string }{
		{"empty input", ``, "$", "EOF"},
		{"truncated", `{"id":`, "$", "unexpected EOF"},
		{"not an object", `[]`, "$", "has a JSON array, want keel.Change"},
		{"data after", `{"id":"c","author":"a","ops":[{"action":"delete","kind":"region","name":"r"}]} 1`, "$", "has data after the JSON value"},
		{"unknown field", `{"id":"c","idd":{"x":1}}`, "idd", "unknown field"},
		{"unknown field in an item", `{"ops":[{"name":"r"},{"nme":"r"}]}`, "ops[1].nme", "unknown field"},
		{"invalid time", `{"time":"noon"}`, "time", "cannot parse"},
		{"invalid duration in an item", `{"ops":[{"link":{"round_trip":"fast"}}]}`, "ops[0].link.round_trip", "is not a duration"},
		{"invalid address prefix", `{"ops":[{"service":{"announce_from":["10.0.0.0/8","x"]}}]}`, "ops[0].service.announce_from[1]", "ParsePrefix"},
		{"wrong type", `{"base":"1"}`, "base", "has a JSON string"},
		{"deep nesting in an unknown field", `{"x":` + deep + `}`, "x", "unknown field"},
		{"deep nesting in a known field", `{"time":` + deep + `}`, "time", "Time.UnmarshalJSON"},
		{"failed check", `{"id":"C","author":"a","ops":[{"action":"delete","kind":"region","name":"r"}]}`, "id", "character"},
	} {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			var fs keel.Faults
			is.True(errors.As(keel.DecodeJSON([]byte(tt.data), &keel.Change{}), &fs))
			is.Equal(len(fs), 1)
			is.Equal(fs[0].Field, tt.field)
			if !strings.Contains(fs[0].Reason, tt.reason) {
				t.Errorf("reason %q does not contain %q", fs[0].Reason, tt.reason)
			}
		})
	}
}
