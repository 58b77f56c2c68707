// Package examples holds the documents of the first users, as shipped.
package examples

import (
	"embed"
	"io/fs"
	"sort"

	"github.com/cyclamentray/cyclamentray/config"
)

//go:embed mwambao/*.hujson consorcio/*.hujson
var files embed.FS

// Documents returns the documents of both first users for one deployment. Both
// name the same failure domains, so Mwambao's stand for them.
func Documents() ([]config.Document, error) {
	names, err := fs.Glob(files, "*/*.hujson")
	if err != nil {
		return nil, err
	}
	sort.Strings(names)
	var docs []config.Document
	for _, name := range names {
		if name == "consorcio/failure-domains.hujson" {
			continue
		}
		parsed, err := parse(name)
		if err != nil {
			return nil, err
		}
		docs = append(docs, parsed...)
	}
	return docs, nil
}

func parse(name string) ([]config.Document, error) {
	data, err := files.ReadFile(name)
	if err != nil {
		return nil, err
	}
	return config.ParseDocuments(name, data)
}
