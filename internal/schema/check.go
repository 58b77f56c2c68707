package schema

import (
	"encoding/json"
	"fmt"
	"strconv"
	"strings"

	"github.com/tailscale/hujson"

	"github.com/cyclamentray/cyclamentray/apierr"
)

// UnknownField is the message of the mistake for a field that the schema does not
// have.
const UnknownField = "unknown field"

// Result is the result of Source.Check.
type Result struct {
	JSON     []byte         // standard JSON with defaults filled in; valid only without mistakes
	Lines    map[string]int // line of each field present, by path such as "teams[0].quota"
	Mistakes []*apierr.Error
}

// Check validates a value of the source against the schema f. The paths of fields
// in the result start with prefix.
func (s *Source) Check(v *hujson.Value, f *Field, prefix string) Result {
	c := &checker{source: s, result: Result{Lines: map[string]int{}}}
	tree := c.checkValue(v, f, prefix)
	if len(c.result.Mistakes) > 0 {
		return c.result
	}
	out, err := json.Marshal(tree)
	if err != nil {
		c.addMistake(v.StartOffset, prefix, err.Error(), "report this as a fault of the program")
	}
	c.result.JSON = out
	return c.result
}

type checker struct {
	source *Source
	result Result
}

func (c *checker) addMistake(offset int, path, message, remedy string) {
	c.result.Mistakes = append(c.result.Mistakes, c.source.Mistake(offset, path, message, remedy))
}

// checkValue validates v and returns it as plain Go values with defaults filled
// in.
func (c *checker) checkValue(v *hujson.Value, f *Field, path string) any {
	c.result.Lines[path] = c.source.Line(v.StartOffset)
	switch f.Type {
	case Object:
		if o, ok := v.Value.(*hujson.Object); ok {
			return c.checkObject(v, o, f, path)
		}
	case List:
		if a, ok := v.Value.(*hujson.Array); ok {
			return c.checkList(v, a, f, path)
		}
	default:
		if l, ok := v.Value.(hujson.Literal); ok {
			return c.checkLiteral(v, l, f, path)
		}
	}
	c.addTypeMistake(v, f, path)
	return nil
}

func (c *checker) addTypeMistake(v *hujson.Value, f *Field, path string) {
	c.addMistake(v.StartOffset, path, fmt.Sprintf("%s where %s is expected", kindName(v), withArticle(f.Type)), "write "+expectedText(f))
}

func (c *checker) checkObject(v *hujson.Value, o *hujson.Object, f *Field, path string) any {
	tree := map[string]any{}
	seen := map[string]bool{}
	for i := range o.Members {
		m := &o.Members[i]
		name := m.Name.Value.(hujson.Literal).String()
		memberPath := joinPath(path, name)
		member := f.member(name)
		if member == nil {
			c.addMistake(m.Name.StartOffset, memberPath, UnknownField, unknownRemedy(name, f.memberNames()))
			continue
		}
		if seen[name] {
			c.addMistake(m.Name.StartOffset, memberPath, "field appears twice", "keep one of the two")
			continue
		}
		seen[name] = true
		tree[name] = c.checkValue(&m.Value, member, memberPath)
	}
	for i := range f.Fields {
		if member := &f.Fields[i]; !seen[member.Name] {
			c.fillAbsent(v, tree, member, path)
		}
	}
	return tree
}

// fillAbsent sets the default of a field that v does not have, or adds a mistake
// if the field is required.
func (c *checker) fillAbsent(v *hujson.Value, tree map[string]any, f *Field, path string) {
	memberPath := joinPath(path, f.Name)
	switch {
	case f.Type == Object && !f.Optional:
		empty := &hujson.Object{}
		tree[f.Name] = c.checkObject(v, empty, f, memberPath)
	case f.Required:
		c.addMistake(v.StartOffset, memberPath, "required field is missing", "add "+expectedText(f))
	case f.Default != nil:
		tree[f.Name] = f.Default
	case f.Type == List:
		tree[f.Name] = []any{}
	}
}

func (c *checker) checkList(v *hujson.Value, a *hujson.Array, f *Field, path string) any {
	if f.bounded() && (len(a.Elements) < f.Min || len(a.Elements) > f.Max) {
		c.addMistake(v.StartOffset, path, fmt.Sprintf("list has %d elements", len(a.Elements)), "write "+expectedText(f))
	}
	out := make([]any, len(a.Elements))
	for i := range a.Elements {
		out[i] = c.checkValue(&a.Elements[i], f.Elem, fmt.Sprintf("%s[%d]", path, i))
	}
	return out
}

func (c *checker) checkLiteral(v *hujson.Value, l hujson.Literal, f *Field, path string) any {
	switch {
	case f.Type == Bool && (l.Kind() == 't' || l.Kind() == 'f'):
		return l.Bool()
	case f.Type == String && l.Kind() == '"':
		return c.checkString(v, l.String(), f, path)
	case f.Type == Int && l.Kind() == '0':
		return c.checkInteger(v, l, f, path)
	}
	c.addTypeMistake(v, f, path)
	return nil
}

func (c *checker) checkInteger(v *hujson.Value, l hujson.Literal, f *Field, path string) any {
	n, err := strconv.ParseInt(string(l), 10, 64)
	switch {
	case err != nil:
		c.addMistake(v.StartOffset, path, string(l)+" is not an integer in range", "write "+expectedText(f))
	case f.bounded() && (n < int64(f.Min) || n > int64(f.Max)):
		c.addMistake(v.StartOffset, path, string(l)+" is out of range", "write "+expectedText(f))
	}
	return n
}

func (c *checker) checkString(v *hujson.Value, s string, f *Field, path string) any {
	switch {
	case s == "" && f.Required:
		c.addMistake(v.StartOffset, path, "required field is empty", "write "+expectedText(f))
	case s == "": // an optional string may be empty whatever its format
	case len(f.Enum) > 0 && !contains(f.Enum, s):
		c.addMistake(v.StartOffset, path, strconv.Quote(s)+" is not one of the allowed values", "write "+expectedText(f))
	case f.Format != nil && !f.Format.Valid(s):
		c.addMistake(v.StartOffset, path, strconv.Quote(s)+" is malformed", "write "+expectedText(f))
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

func joinPath(path, name string) string {
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

// expectedText describes the values that a field accepts, for remedies.
func expectedText(f *Field) string {
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
