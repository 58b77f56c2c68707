package schema

import (
	"encoding/json"
	"fmt"
	"strings"
)

// Example writes a document with every field, each after a comment with its
// meaning, unit, default and range. Sample gives the values of fields without
// a default, by path.
func Example(f *Field, sample map[string]any) string {
	e := &exampler{sample: sample}
	e.object(f, "", "")
	e.out.WriteString("\n")
	return e.out.String()
}

type exampler struct {
	sample map[string]any
	out    strings.Builder
}

func (e *exampler) object(f *Field, path, indent string) {
	e.out.WriteString("{\n")
	inner := indent + "  "
	for i := range f.Fields {
		m := &f.Fields[i]
		fmt.Fprintf(&e.out, "%s// %s\n%s%q: ", inner, comment(m), inner, m.Name)
		e.value(m, join(path, m.Name), inner)
		e.out.WriteString(",\n")
	}
	e.out.WriteString(indent + "}")
}

func (e *exampler) value(f *Field, path, indent string) {
	if f.Type == Object {
		e.object(f, path, indent)
		return
	}
	v := f.Default
	if s, ok := e.sample[path]; ok {
		v = s
	}
	if v == nil && f.Type == List {
		v = []any{}
	}
	text, err := json.Marshal(v)
	if err != nil {
		text = []byte("null")
	}
	e.out.Write(text)
}

// comment says what a field means and takes.
func comment(f *Field) string {
	parts := []string{f.Doc}
	if f.Unit != "" {
		parts = append(parts, "in "+f.Unit)
	}
	if f.Required {
		parts = append(parts, "required")
	}
	if f.Default != nil {
		parts = append(parts, "default "+defaultText(f))
	}
	if t := takes(f); t != "-" {
		parts = append(parts, "takes "+t)
	}
	return strings.Join(parts, "; ")
}
