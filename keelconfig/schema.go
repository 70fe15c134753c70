package keelconfig

import (
	"bytes"
	"encoding/json"
	"net/netip"
	"reflect"

	"github.com/go-faster/errors"
	keel "github.com/greengagekeel/greengagekeel"
	"github.com/invopop/jsonschema"
)

// Paths of the committed schemas, relative to the root of the module.
const (
	SettingsSchemaFile     = "keelschema/settings.json"
	DeclarationsSchemaFile = "keelschema/declarations.json"
)

// durationPattern matches what [time.ParseDuration] accepts, such as "1m30s".
const durationPattern = `^-?([0-9]+(\.[0-9]*)?|\.[0-9]+)(ns|us|µs|ms|s|m|h)(([0-9]+(\.[0-9]*)?|\.[0-9]+)(ns|us|µs|ms|s|m|h))*$`

// SettingsSchema returns the JSON Schema of [Settings].
func SettingsSchema() ([]byte, error) { return reflectSchema(&Settings{}) }

// DeclarationsSchema returns the JSON Schema of [keel.Declarations].
func DeclarationsSchema() ([]byte, error) { return reflectSchema(&keel.Declarations{}) }

func reflectSchema(v any) ([]byte, error) {
	r := &jsonschema.Reflector{Anonymous: true, ExpandedStruct: true, Mapper: mapType}
	var buf bytes.Buffer
	enc := json.NewEncoder(&buf)
	enc.SetEscapeHTML(false)
	enc.SetIndent("", "  ")
	if err := enc.Encode(r.Reflect(v)); err != nil {
		return nil, errors.Wrapf(err, "encode the schema of %T", v)
	}
	return buf.Bytes(), nil
}

// mapType returns the schemas of types that are encoded as JSON strings, and nil
// for any other type.
func mapType(t reflect.Type) *jsonschema.Schema {
	switch t {
	case reflect.TypeFor[keel.Duration]():
		return &jsonschema.Schema{Type: "string", Pattern: durationPattern, Examples: []any{"1.5s"}}
	case reflect.TypeFor[netip.AddrPort]():
		return &jsonschema.Schema{Type: "string", Description: "IP address and port", Examples: []any{"127.0.0.1:7401"}}
	case reflect.TypeFor[netip.Prefix]():
		return &jsonschema.Schema{Type: "string", Description: "prefix of IP addresses", Examples: []any{"10.0.0.0/8"}}
	case reflect.TypeFor[keel.Class]():
		return enumSchema(keel.Classes())
	default:
		return nil
	}
}

func enumSchema[T ~string](values []T) *jsonschema.Schema {
	s := &jsonschema.Schema{Type: "string"}
	for _, v := range values {
		s.Enum = append(s.Enum, string(v))
	}
	return s
}
