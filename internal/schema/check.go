package schema

import (
	"encoding/json"
	"fmt"
	"strconv"
	"strings"

	"github.com/tailscale/hujson"

	"github.com/cyclamentray/cyclamentray/apierr"
)

// UnknownField is the message about a field that the description does not have.
const UnknownField = "unknown field"

// Result is a checked value.
type Result struct {
	JSON     []byte         // standard JSON with defaults filled in; valid only without mistakes
	Lines    map[string]int // line of each field present, by path such as "teams[0].quota"
	Mistakes []*apierr.Error
}

// Check checks a value of the source against its description. Paths of fields
// start with prefix.
func (s *Source) Check(v *hujson.Value, f *Field, prefix string) Result {
	c := &checker{source: s, result: Result{Lines: map[string]int{}}}
	tree := c.value(v, f, prefix)
	if len(c.result.Mistakes) > 0 {
		return c.result
	}
	out, err := json.Marshal(tree)
	if err != nil {
		c.add(v.StartOffset, prefix, err.Error(), "report this as a fault of the program")
	}
	c.result.JSON = out
	return c.result
}

type checker struct {
	source *Source
	result Result
}

func (c *checker) add(offset int, path, message, remedy string) {
	c.result.Mistakes = append(c.result.Mistakes, c.source.Mistake(offset, path, message, remedy))
}

// value returns v as plain Go values with defaults filled in.
func (c *checker) value(v *hujson.Value, f *Field, path string) any {
	c.result.Lines[path] = c.source.Line(v.StartOffset)
	switch f.Type {
	case Object:
		if o, ok := v.Value.(*hujson.Object); ok {
			return c.object(v, o, f, path)
		}
	case List:
		if a, ok := v.Value.(*hujson.Array); ok {
			return c.list(v, a, f, path)
		}
	default:
		if l, ok := v.Value.(hujson.Literal); ok {
			return c.literal(v, l, f, path)
		}
	}
	c.wrongType(v, f, path)
	return nil
}

func (c *checker) wrongType(v *hujson.Value, f *Field, path string) {
	c.add(v.StartOffset, path, fmt.Sprintf("%s where %s is expected", kindName(v), withArticle(f.Type)), "write "+expected(f))
}

func (c *checker) object(v *hujson.Value, o *hujson.Object, f *Field, path string) any {
	tree := map[string]any{}
	seen := map[string]bool{}
	for i := range o.Members {
		m := &o.Members[i]
		name := m.Name.Value.(hujson.Literal).String()
		memberPath := join(path, name)
		member := f.member(name)
		if member == nil {
			c.add(m.Name.StartOffset, memberPath, UnknownField, unknownRemedy(name, f.memberNames()))
			continue
		}
		if seen[name] {
			c.add(m.Name.StartOffset, memberPath, "field appears twice", "keep one of the two")
			continue
		}
		seen[name] = true
		tree[name] = c.value(&m.Value, member, memberPath)
	}
	for i := range f.Fields {
		if member := &f.Fields[i]; !seen[member.Name] {
			c.absent(v, tree, member, path)
		}
	}
	return tree
}

// absent fills in the default of a field that v does not have.
func (c *checker) absent(v *hujson.Value, tree map[string]any, f *Field, path string) {
	memberPath := join(path, f.Name)
	switch {
	case f.Type == Object && !f.Optional:
		empty := &hujson.Object{}
		tree[f.Name] = c.object(v, empty, f, memberPath)
	case f.Required:
		c.add(v.StartOffset, memberPath, "required field is missing", "add "+expected(f))
	case f.Default != nil:
		tree[f.Name] = f.Default
	case f.Type == List:
		tree[f.Name] = []any{}
	}
}

func (c *checker) list(v *hujson.Value, a *hujson.Array, f *Field, path string) any {
	if f.bounded() && (len(a.Elements) < f.Min || len(a.Elements) > f.Max) {
		c.add(v.StartOffset, path, fmt.Sprintf("list has %d elements", len(a.Elements)), "write "+expected(f))
	}
	out := make([]any, len(a.Elements))
	for i := range a.Elements {
		out[i] = c.value(&a.Elements[i], f.Elem, fmt.Sprintf("%s[%d]", path, i))
	}
	return out
}

func (c *checker) literal(v *hujson.Value, l hujson.Literal, f *Field, path string) any {
	switch {
	case f.Type == Bool && (l.Kind() == 't' || l.Kind() == 'f'):
		return l.Bool()
	case f.Type == String && l.Kind() == '"':
		return c.text(v, l.String(), f, path)
	case f.Type == Int && l.Kind() == '0':
		return c.integer(v, l, f, path)
	}
	c.wrongType(v, f, path)
	return nil
}

func (c *checker) integer(v *hujson.Value, l hujson.Literal, f *Field, path string) any {
	n, err := strconv.ParseInt(string(l), 10, 64)
	switch {
	case err != nil:
		c.add(v.StartOffset, path, string(l)+" is not an integer in range", "write "+expected(f))
	case f.bounded() && (n < int64(f.Min) || n > int64(f.Max)):
		c.add(v.StartOffset, path, string(l)+" is out of range", "write "+expected(f))
	}
	return n
}

func (c *checker) text(v *hujson.Value, s string, f *Field, path string) any {
	switch {
	case s == "" && f.Required:
		c.add(v.StartOffset, path, "required field is empty", "write "+expected(f))
	case s == "": // an optional string left out
	case len(f.Enum) > 0 && !contains(f.Enum, s):
		c.add(v.StartOffset, path, strconv.Quote(s)+" is not one of the allowed values", "write "+expected(f))
	case f.Format != nil && !f.Format.Valid(s):
		c.add(v.StartOffset, path, strconv.Quote(s)+" is malformed", "write "+expected(f))
	}
	return s
}

func contains(list []string, s string) bool {
	for _, e := range list {
		if e == s {
			return true
		}
	}
	return false
}

func join(path, name string) string {
	if path == "" {
		return name
	}
	return path + "." + name
}

func kindName(v *hujson.Value) string {
	switch v.Value.Kind() {
	case 'n':
		return "null"
	case 't', 'f':
		return "a boolean"
	case '"':
		return "a string"
	case '0':
		return "a number"
	case '[':
		return "a list"
	}
	return "an object"
}

func withArticle(t Type) string {
	if t == Int || t == Object {
		return "an " + string(t)
	}
	return "a " + string(t)
}

// expected says in words what a field takes.
func expected(f *Field) string {
	switch {
	case len(f.Enum) > 0:
		return "one of " + strings.Join(f.Enum, ", ")
	case f.Format != nil:
		return f.Format.Name
	case f.Type == Int && f.bounded():
		return strings.TrimSpace(fmt.Sprintf("an integer from %d to %d %s", f.Min, f.Max, f.Unit))
	case f.Type == List && f.bounded():
		return fmt.Sprintf("a list of %d to %d elements", f.Min, f.Max)
	}
	return withArticle(f.Type)
}
