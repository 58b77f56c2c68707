package schema

import (
	"encoding/json"
	"fmt"
	"strings"
)

// Example returns a document with every field, each preceded by a comment with
// its description, unit, default and range. sample holds values by path, for
// fields that have no default.
func Example(f *Field, sample map[string]any) string {
	e := &exampleWriter{sample: sample}
	e.writeObject(f, "", "")
	e.out.WriteString("\n")
	return e.out.String()
}

type exampleWriter struct {
	sample map[string]any
	out    strings.Builder
}

func (e *exampleWriter) writeObject(f *Field, path, indent string) {
	e.out.WriteString("{\n")
	inner := indent + "  "
	for i := range f.Fields {
		m := &f.Fields[i]
		fmt.Fprintf(&e.out, "%s// %s\n%s%q: ", inner, fieldComment(m), inner, m.Name)
		e.writeValue(m, joinPath(path, m.Name), inner)
		e.out.WriteString(",\n")
	}
	e.out.WriteString(indent + "}")
}

func (e *exampleWriter) writeValue(f *Field, path, indent string) {
	if f.Type == Object {
		e.writeObject(f, path, indent)
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

// fieldComment returns the text of the comment before a field.
func fieldComment(f *Field) string {
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
	if t := allowedText(f); t != "-" {
		parts = append(parts, "takes "+t)
	}
	return strings.Join(parts, "; ")
}
