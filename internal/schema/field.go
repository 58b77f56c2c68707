// Package schema checks JSON with comments against a description of its
// fields. It reports every mistake at once, each with file, line, field and
// remedy, and fills in defaults, so that the description is the one place that
// states units, defaults and ranges.
package schema

// Type is the type of a field's value.
type Type string

// The types of value.
const (
	String Type = "string"
	Int    Type = "integer"
	Bool   Type = "boolean"
	Object Type = "object"
	List   Type = "list"
)

// Field describes one value of a document.
type Field struct {
	Name     string
	Type     Type
	Doc      string
	Unit     string   // of an integer, such as "ms"
	Default  any      // used when the field is absent: a string, int or bool
	Required bool     // the field must be present and, if a string, not empty
	Optional bool     // an object that may be absent altogether
	Min, Max int      // range of an integer or of a list's length; both 0: not bounded
	Enum     []string // the only strings allowed
	Format   *Format  // what a string must look like
	Fields   []Field  // of an object
	Elem     *Field   // of a list
}

// Format says what a string must look like.
type Format struct {
	Name  string // such as "IP:port"
	Valid func(string) bool
}

func (f *Field) bounded() bool { return f.Min != 0 || f.Max != 0 }

func (f *Field) member(name string) *Field {
	for i := range f.Fields {
		if f.Fields[i].Name == name {
			return &f.Fields[i]
		}
	}
	return nil
}

func (f *Field) memberNames() []string {
	names := make([]string, len(f.Fields))
	for i, m := range f.Fields {
		names[i] = m.Name
	}
	return names
}
