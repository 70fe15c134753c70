package keelscenario

import (
	"encoding/json"
	"fmt"
	"strconv"
	"strings"

	"github.com/go-faster/errors"
)

// condition compares the value at a path in a JSON document with a wanted one.
type condition struct {
	path, op, want string
}

// parseCondition returns the condition of a path, an operator and a value, which
// may consist of several arguments.
func parseCondition(args []string) condition {
	return condition{path: args[0], op: args[1], want: strings.Join(args[2:], " ")}
}

func (q condition) String() string { return q.path + " " + q.op + " " + q.want }

// holds evaluates the condition. It also returns the value at the path as text.
func (q condition) holds(doc []byte) (ok bool, seen string, err error) {
	var v any
	if err := json.Unmarshal(doc, &v); err != nil {
		return false, "", errors.Wrap(err, "decode the state")
	}
	v = valueAt(v, q.path)
	seen = textOf(v)
	ok, err = compare(seen, q.op, q.want)
	return ok, seen, err
}

// lengthSegment is the path segment for the number of elements.
const lengthSegment = "len"

// valueAt returns the value at a path such as
// "members.domain.instance/name=a2.state", or nil if there is none. A segment is
// a field, an index, FIELD=VALUE for the first element whose field has a value,
// with slashes in the path of a nested field, or len for the number of elements.
// The path "." is the whole document.
func valueAt(v any, path string) any {
	if path == "." {
		return v
	}
	for segment := range strings.SplitSeq(path, ".") {
		v = valueAtSegment(v, segment)
	}
	return v
}

func valueAtSegment(v any, segment string) any {
	switch t := v.(type) {
	case map[string]any:
		if segment == lengthSegment {
			return len(t)
		}
		return t[segment]
	case []any:
		return elementOf(t, segment)
	default:
		if segment == lengthSegment {
			return 0
		}
		return nil
	}
}

func elementOf(list []any, segment string) any {
	if segment == lengthSegment {
		return len(list)
	}
	if i, err := strconv.Atoi(segment); err == nil {
		if i < len(list) {
			return list[i]
		}
		return nil
	}
	field, want, ok := strings.Cut(segment, "=")
	if !ok {
		return nil
	}
	for _, e := range list {
		if textOf(valueAt(e, strings.ReplaceAll(field, "/", "."))) == want {
			return e
		}
	}
	return nil
}

func textOf(v any) string {
	switch t := v.(type) {
	case nil:
		return "null"
	case string:
		return t
	case float64:
		return strconv.FormatFloat(t, 'f', -1, 64)
	case map[string]any, []any:
		data, err := json.Marshal(t)
		if err != nil {
			return err.Error()
		}
		return string(data)
	default:
		return fmt.Sprint(t)
	}
}

func compare(got, op, want string) (bool, error) {
	switch op {
	case "==":
		return got == want, nil
	case "!=":
		return got != want, nil
	case "contains":
		return strings.Contains(got, want), nil
	case "lacks":
		return !strings.Contains(got, want), nil
	}
	x, errX := strconv.ParseFloat(got, 64)
	y, errY := strconv.ParseFloat(want, 64)
	if errY != nil {
		return false, errors.Errorf("%q is not a number", want)
	}
	if errX != nil {
		return false, nil // no number at the path yet
	}
	switch op {
	case "<":
		return x < y, nil
	case "<=":
		return x <= y, nil
	case ">":
		return x > y, nil
	case ">=":
		return x >= y, nil
	default:
		return false, errors.Errorf("operator %q does not exist", op)
	}
}

// cmdUntil waits until the dump of an instance satisfies a condition.
func cmdUntil(c *cluster, args []string) {
	in := c.instance(args[0])
	q := parseCondition(args[1:])
	c.until("until "+in.name+" "+q.String(), func() (bool, string) {
		doc, err := c.client(in).Dump(c.ctx)
		if err != nil {
			return false, err.Error()
		}
		ok, seen, err := q.holds(doc)
		c.check(err)
		return ok, seen
	})
}

// cmdExpect checks the current dump of an instance against a condition.
func cmdExpect(c *cluster, args []string) {
	in := c.instance(args[0])
	doc, err := c.client(in).Dump(c.ctx)
	c.check(err)
	c.expect(in.name, parseCondition(args[1:]), doc)
}

func (c *cluster) expect(subject string, q condition, doc []byte) {
	ok, seen, err := q.holds(doc)
	c.check(err)
	if !ok {
		c.fatalf("%s: want %s, have %s", subject, q, seen)
	}
}
