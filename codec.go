package keel

import (
	"bytes"
	"encoding/json"
	"io"

	"github.com/fxamacker/cbor/v2"
	"github.com/go-faster/errors"
)

// Checker is a value that can validate itself.
type Checker interface {
	// Check returns every fault of the value, or none if it is valid.
	Check() Faults
}

// Limits on received CBOR, so that a peer can't make this process allocate or
// recurse without bound.
const (
	maxCBORArrayElements = 2_000_000
	maxCBORMapPairs      = 2_000_000
	maxCBORNesting       = 16
)

var (
	cborEncMode = newCBOREncMode()
	cborDecMode = newCBORDecMode()
)

func newCBOREncMode() cbor.EncMode {
	opts := cbor.CoreDetEncOptions()
	opts.TextMarshaler = cbor.TextMarshalerNone
	opts.Time = cbor.TimeRFC3339Nano
	m, err := opts.EncMode()
	if err != nil {
		panic(err)
	}
	return m
}

func newCBORDecMode() cbor.DecMode {
	m, err := cbor.DecOptions{
		MaxArrayElements: maxCBORArrayElements,
		MaxMapPairs:      maxCBORMapPairs,
		MaxNestedLevels:  maxCBORNesting,
	}.DecMode()
	if err != nil {
		panic(err)
	}
	return m
}

// DecodeJSON decodes one JSON value into v and checks it. Unknown fields and
// data after the value are errors. All errors are of type [Faults].
func DecodeJSON(data []byte, v Checker) error {
	dec := json.NewDecoder(bytes.NewReader(data))
	dec.DisallowUnknownFields()
	if err := dec.Decode(v); err != nil {
		return describeJSONError(err, data, v)
	}
	if _, err := dec.Token(); !errors.Is(err, io.EOF) {
		return Faults{{Field: "$", Reason: "has data after the JSON value"}}
	}
	return v.Check().Err()
}

// describeJSONError converts an error of the JSON decoder to [Faults] with the
// path of the field that it is about.
func describeJSONError(err error, data []byte, v Checker) error {
	var typeErr *json.UnmarshalTypeError
	if !errors.As(err, &typeErr) {
		return Faults{{Field: findFaultyField(data, v), Reason: err.Error()}}
	}
	f := Fault{Field: typeErr.Field, Reason: "has a JSON " + typeErr.Value + ", want " + typeErr.Type.String()}
	if f.Field == "" {
		f.Field = "$"
	}
	return Faults{f}
}

// EncodeCBOR encodes v in the deterministic form of RFC 8949.
func EncodeCBOR(v any) ([]byte, error) {
	b, err := cborEncMode.Marshal(v)
	if err != nil {
		return nil, errors.Wrapf(err, "encode %T", v)
	}
	return b, nil
}

// DecodeCBOR decodes one CBOR value into v and checks it.
func DecodeCBOR(data []byte, v Checker) error {
	if err := cborDecMode.Unmarshal(data, v); err != nil {
		return errors.Wrapf(err, "decode %T", v)
	}
	return v.Check().Err()
}

// CBORWriter writes a sequence of CBOR values to a stream.
type CBORWriter struct{ enc *cbor.Encoder }

// NewCBORWriter returns a writer of values to w.
func NewCBORWriter(w io.Writer) *CBORWriter {
	return &CBORWriter{enc: cborEncMode.NewEncoder(w)}
}

// Write writes one value.
func (w *CBORWriter) Write(v any) error {
	if err := w.enc.Encode(v); err != nil {
		return errors.Wrapf(err, "write %T", v)
	}
	return nil
}

// CBORReader reads a sequence of CBOR values from a stream.
type CBORReader struct{ dec *cbor.Decoder }

// NewCBORReader returns a reader of values from r.
func NewCBORReader(r io.Reader) *CBORReader {
	return &CBORReader{dec: cborDecMode.NewDecoder(r)}
}

// Read reads the next value into v and checks it. At the end of the stream it
// returns [io.EOF].
func (r *CBORReader) Read(v Checker) error {
	err := r.dec.Decode(v)
	if errors.Is(err, io.EOF) && !errors.Is(err, io.ErrUnexpectedEOF) {
		return io.EOF
	}
	if err != nil {
		return errors.Wrapf(err, "read %T", v)
	}
	return v.Check().Err()
}
