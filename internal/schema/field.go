// Package schema validates JSON with comments against a schema of its fields. It
// reports all mistakes at once, each with file, line, field and remedy, and fills
// in defaults, so that units, defaults and ranges are defined only in the schema.
// It also generates tables of the fields and example documents. The packages
// config and settings call it; it holds no state.
package schema

// Type is the JSON type of a field's value.
type Type string

// Values of Type.
const (
	String Type = "string"
	Int    Type = "integer"
	Bool   Type = "boolean"
	Object Type = "object"
	List   Type = "list"
)

// Field is the schema of one value of a document.
type Field struct {
	Name     string
	Type     Type
	Doc      string
	Unit     string   // unit of an integer, such as "ms"
	Default  any      // used when the field is absent: a string, int or bool
	Required bool     // the field must be present and, if it is a string, not be empty
	Optional bool     // an object that may be absent; an absent object without it is checked as an empty one
	Min, Max int      // range of an integer or of a list's length; both 0: not bounded
	Enum     []string // allowed values of a string
	Format   *Format  // format of a string
	Fields   []Field  // members of an object
	Elem     *Field   // elements of a list
}

// Format is a format that strings must have.
type Format struct {
	Name  string // shown in remedies and descriptions, such as "IP:port"
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
