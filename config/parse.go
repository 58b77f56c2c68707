package config

import (
	"encoding/json"
	"fmt"
	"io"

	"github.com/cockroachdb/errors"
	"github.com/tailscale/hujson"

	"github.com/cyclamentray/cyclamentray/apierr"
	"github.com/cyclamentray/cyclamentray/internal/schema"
)

// Document is one document of the operators: a kind, and the value of that kind. Its
// JSON has the value's fields and a field "kind".
type Document struct {
	Kind          Kind
	Organisation  *Organisation
	Service       *Service
	FailureDomain *FailureDomain

	outOmitted bool // the document is of a failure domain and omits the field "out"

	file  string         // file that it was read from, for messages
	path  string         // path in that file, such as "[3]"
	lines map[string]int // lines of its fields in that file
}

// Name returns the document's name, unique within its kind.
func (d Document) Name() string {
	switch {
	case d.Organisation != nil:
		return d.Organisation.Name
	case d.Service != nil:
		return d.Service.Name
	case d.FailureDomain != nil:
		return d.FailureDomain.Name
	}
	return ""
}

// ID returns the kind and name as "kind/name".
func (d Document) ID() string { return string(d.Kind) + "/" + d.Name() }

// MarshalJSON implements json.Marshaler.
func (d Document) MarshalJSON() ([]byte, error) {
	switch d.Kind {
	case KindOrganisation:
		return json.Marshal(struct {
			Kind Kind `json:"kind"`
			*Organisation
		}{d.Kind, d.Organisation})
	case KindService:
		return json.Marshal(struct {
			Kind Kind `json:"kind"`
			*Service
		}{d.Kind, d.Service})
	case KindFailureDomain:
		return json.Marshal(struct {
			Kind Kind `json:"kind"`
			*FailureDomain
			Out *bool `json:"out,omitempty"` // shadows FailureDomain.Out
		}{d.Kind, d.FailureDomain, d.outField()})
	}
	return nil, errors.Newf("document of unknown kind %q", d.Kind)
}

// outField returns the failure domain's field "out", or nil if the document omits it.
func (d Document) outField() *bool {
	if d.outOmitted {
		return nil
	}
	return &d.FailureDomain.Out
}

// UnmarshalJSON implements json.Unmarshaler for documents that were checked before.
// Unchecked input is read by ParseDocuments.
func (d *Document) UnmarshalJSON(data []byte) error {
	var header struct {
		Kind Kind  `json:"kind"`
		Out  *bool `json:"out"`
	}
	if err := json.Unmarshal(data, &header); err != nil {
		return err
	}
	*d = Document{Kind: header.Kind, outOmitted: header.Kind == KindFailureDomain && header.Out == nil}
	value, err := d.allocate()
	if err != nil {
		return err
	}
	return json.Unmarshal(data, value)
}

// allocate sets the field of the document's kind to a new value.
func (d *Document) allocate() (value any, err error) {
	switch d.Kind {
	case KindOrganisation:
		d.Organisation = &Organisation{}
		return d.Organisation, nil
	case KindService:
		d.Service = &Service{}
		return d.Service, nil
	case KindFailureDomain:
		d.FailureDomain = &FailureDomain{}
		return d.FailureDomain, nil
	}
	return nil, errors.Newf("document of unknown kind %q", d.Kind)
}

// ParseDocuments reads one document, or a list of them, from JSON with comments. name
// is the file's name in errors. The error is an *apierr.Error with every mistake
// found. Mistakes between documents are found by CheckDocuments.
func ParseDocuments(name string, data []byte) ([]Document, error) {
	src, mistake := schema.Read(name, data)
	if mistake != nil {
		return nil, mistake
	}
	p := &parser{src: src}
	if list, ok := src.Root.Value.(*hujson.Array); ok {
		if len(list.Elements) == 0 {
			return nil, src.Mistake(src.Root.StartOffset, "", "list holds no document", "write at least one document")
		}
		for i := range list.Elements {
			p.parseDocument(&list.Elements[i], fmt.Sprintf("[%d]", i))
		}
	} else {
		p.parseDocument(&src.Root, "")
	}
	if len(p.mistakes) > 0 {
		return nil, apierr.Join(p.mistakes)
	}
	return p.documents, nil
}

// parser collects the documents and mistakes of one ParseDocuments call.
type parser struct {
	src       *schema.Source
	documents []Document
	mistakes  []*apierr.Error
}

// parseDocument checks the document at path and adds it or its mistakes to p.
func (p *parser) parseDocument(v *hujson.Value, path string) {
	fields, known := fieldsOf(kindOf(v))
	result := p.src.Check(v, fields, path)
	if !known {
		result.Mistakes = dropUnknownFields(result.Mistakes)
	}
	p.mistakes = append(p.mistakes, result.Mistakes...)
	if len(result.Mistakes) > 0 {
		return
	}
	d := Document{}
	if err := json.Unmarshal(result.JSON, &d); err != nil {
		p.mistakes = append(p.mistakes, apierr.Invalid(path, err.Error(), "check the document against `cyclamentray describe`"))
		return
	}
	d.file, d.path, d.lines = p.src.Name, path, result.Lines
	p.documents = append(p.documents, d)
}

// dropUnknownFields removes mistakes about unknown fields. For a document of unknown
// kind every other field is reported as unknown, which means nothing.
func dropUnknownFields(mistakes []*apierr.Error) []*apierr.Error {
	var out []*apierr.Error
	for _, m := range mistakes {
		if m.Message != schema.UnknownField {
			out = append(out, m)
		}
	}
	return out
}

// kindOf returns the document's kind, or "" if it has none.
func kindOf(v *hujson.Value) Kind {
	o, ok := v.Value.(*hujson.Object)
	if !ok {
		return ""
	}
	for _, m := range o.Members {
		name, _ := m.Name.Value.(hujson.Literal)
		kind, ok := m.Value.Value.(hujson.Literal)
		if ok && name.String() == "kind" && kind.Kind() == '"' {
			return Kind(kind.String())
		}
	}
	return ""
}

// Describe prints every field of every kind of document with its type, unit,
// default, range and meaning.
func Describe(w io.Writer) error {
	for _, kind := range []Kind{KindOrganisation, KindService, KindFailureDomain} {
		if _, err := fmt.Fprintf(w, "\n%s\n", kind); err != nil {
			return err
		}
		fields, _ := fieldsOf(kind)
		if err := schema.Describe(w, fields); err != nil {
			return err
		}
	}
	return nil
}
