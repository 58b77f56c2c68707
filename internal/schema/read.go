package schema

import (
	"fmt"
	"regexp"
	"sort"
	"strconv"
	"strings"

	"github.com/tailscale/hujson"

	"github.com/cyclamentray/cyclamentray/apierr"
)

// MaxBytes is the largest document read, in bytes.
const MaxBytes = 1 << 20

// maxDepth limits the nesting of brackets, so that parsing cannot exhaust the stack.
const maxDepth = 64

// Source is a document that is well-formed JSON with comments.
type Source struct {
	Name  string // file name, for mistakes
	Root  hujson.Value
	lines []int // offset of the start of each line, ascending
}

// Read parses data as JSON with comments and trailing commas.
func Read(name string, data []byte) (*Source, *apierr.Error) {
	s := &Source{Name: name, lines: lineStarts(data)}
	if len(data) > MaxBytes {
		e := apierr.New(apierr.TooLarge, fmt.Sprintf("document has %d bytes, the limit is %d", len(data), MaxBytes), "split it into several files")
		e.File = name
		return nil, e
	}
	if n := tooDeepOffset(data); n >= 0 {
		return nil, s.Mistake(n, "", fmt.Sprintf("brackets nest deeper than %d", maxDepth), "flatten the document")
	}
	root, err := hujson.Parse(data)
	if err != nil {
		return nil, s.syntaxError(err)
	}
	s.Root = root
	return s, nil
}

// tooDeepOffset returns the offset where nesting exceeds maxDepth, or -1. It also
// counts brackets in strings and comments, so it may reject a document that is
// nested less deeply.
func tooDeepOffset(data []byte) int {
	depth := 0
	for i, c := range data {
		switch c {
		case '[', '{':
			depth++
		case ']', '}':
			depth--
		}
		if depth > maxDepth {
			return i
		}
	}
	return -1
}

var linePattern = regexp.MustCompile(`^hujson: line (\d+), column (\d+): `)

func (s *Source) syntaxError(err error) *apierr.Error {
	message := err.Error()
	e := apierr.Invalid("", "", "write JSON; comments and trailing commas are allowed")
	e.File = s.Name
	if m := linePattern.FindStringSubmatch(message); m != nil {
		e.Line, _ = strconv.Atoi(m[1])
		message = fmt.Sprintf("%s (column %s)", strings.TrimPrefix(message, m[0]), m[2])
	}
	e.Message = "malformed JSON: " + message
	return e
}

// Line returns the line number, from 1, of a byte offset.
func (s *Source) Line(offset int) int {
	return sort.SearchInts(s.lines, offset+1)
}

func lineStarts(data []byte) []int {
	starts := []int{0}
	for i, c := range data {
		if c == '\n' {
			starts = append(starts, i+1)
		}
	}
	return starts
}

// Mistake returns an error about a field at a byte offset.
func (s *Source) Mistake(offset int, field, message, remedy string) *apierr.Error {
	e := apierr.Invalid(field, message, remedy)
	e.File = s.Name
	e.Line = s.Line(offset)
	return e
}
