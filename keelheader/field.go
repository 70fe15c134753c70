package keelheader

import "bytes"

// FieldName returns the name of the field in a line, and false if the line is no field: RFC
// 9112, section 5. It isn't if its name holds or is followed by a blank, nor if it continues
// the line before it.
func FieldName(line []byte) ([]byte, bool) {
	name, value, found := bytes.Cut(line, []byte(":"))
	return name, found && IsToken(name) && IsFieldContent(value)
}

// IsToken reports whether b is a token, such as the name of a field: RFC 9110, section 5.6.2.
func IsToken(b []byte) bool {
	for _, c := range b {
		if !isTokenByte[c] {
			return false
		}
	}
	return len(b) > 0
}

// isTokenByte holds the bytes of tokens.
var isTokenByte = func() (table [256]bool) {
	for _, c := range "!#$%&'*+-.^_`|~0123456789ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz" {
		table[c] = true
	}
	return table
}()

// IsFieldContent reports whether b has no control byte other than the tab, as the value of
// a field and the reason of a status line: RFC 9110, section 5.5.
func IsFieldContent(b []byte) bool {
	for _, c := range b {
		if c < ' ' && c != '\t' || c == 0x7f {
			return false
		}
	}
	return true
}
