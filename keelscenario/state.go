package keelscenario

import (
	"encoding/json"
	"fmt"
	"strconv"
	"strings"

	"github.com/go-faster/errors"
)

// condition compares the value at a path in a JSON document with another.
type condition struct {
	path, op, want string
}

// parseCondition reads a path, an operator and a value.
func parseCondition(args []string) condition {
	return condition{path: args[0], op: args[1], want: strings.Join(args[2:], " ")}
}

func (q condition) String() string { return q.path + " " + q.op + " " + q.want }

// holds evaluates the condition, and returns what stands at the path.
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

// lengthSegment asks for the number of elements.
const lengthSegment = "len"

// valueAt follows a path such as "members.domain.instance/name=a2.state". A
// segment is a field, an index, a selection of the element whose field has a
// value, or len for the number of elements.
func valueAt(v any, path string) any {
	if path == "." {
		return v
	}
	for segment := range strings.SplitSeq(path, ".") {
		v = step(v, segment)
	}
	return v
}

func step(v any, segment string) any {
	switch t := v.(type) {
	case map[string]any:
		if segment == lengthSegment {
			return len(t)
		}
		return t[segment]
	case []any:
		return element(t, segment)
	default:
		if segment == lengthSegment {
			return 0
		}
		return nil
	}
}

func element(list []any, segment string) any {
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
		return false, nil // nothing there yet
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

func cmdExpect(c *cluster, args []string) {
	in := c.instance(args[0])
	doc, err := c.client(in).Dump(c.ctx)
	c.check(err)
	c.expect(in.name, parseCondition(args[1:]), doc)
}

func (c *cluster) expect(whose string, q condition, doc []byte) {
	ok, seen, err := q.holds(doc)
	c.check(err)
	if !ok {
		c.fatalf("%s: want %s, have %s", whose, q, seen)
	}
}
