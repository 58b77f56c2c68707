package schema

import (
	"fmt"
	"io"
	"strings"
	"text/tabwriter"
)

// Describe writes a table with one line per field: path, type, unit, default,
// allowed values and description.
func Describe(w io.Writer, f *Field) error {
	tw := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	fmt.Fprintln(tw, "FIELD\tTYPE\tUNIT\tDEFAULT\tTAKES\tMEANING")
	for i := range f.Fields {
		describeField(tw, &f.Fields[i], "")
	}
	return tw.Flush()
}

func describeField(w io.Writer, f *Field, prefix string) {
	path := joinPath(prefix, f.Name)
	fmt.Fprintf(w, "%s\t%s\t%s\t%s\t%s\t%s\n", path, f.Type, orDash(f.Unit), defaultText(f), allowedText(f), f.Doc)
	for i := range f.Fields {
		describeField(w, &f.Fields[i], path)
	}
	if f.Elem == nil {
		return
	}
	for i := range f.Elem.Fields {
		describeField(w, &f.Elem.Fields[i], path+"[]")
	}
}

func defaultText(f *Field) string {
	switch {
	case f.Required:
		return "(required)"
	case f.Default == nil:
		return "-"
	case f.Default == "":
		return `""`
	}
	return fmt.Sprint(f.Default)
}

func allowedText(f *Field) string {
	switch {
	case len(f.Enum) > 0:
		return strings.Join(f.Enum, "|")
	case f.Format != nil:
		return f.Format.Name
	case f.Type == List && f.bounded():
		return fmt.Sprintf("%d..%d elements", f.Min, f.Max)
	case f.bounded():
		return fmt.Sprintf("%d..%d", f.Min, f.Max)
	case f.Type == List && f.Elem.Format != nil:
		return "each " + f.Elem.Format.Name
	}
	return "-"
}

func orDash(s string) string {
	if s == "" {
		return "-"
	}
	return s
}
