// Package examples embeds the example configuration documents of two users,
// Mwambao Levy Filings and Consorcio Recogida Norte. Package dev applies them to
// its deployments. The package holds no other state.
package examples

import (
	"embed"
	"io/fs"
	"sort"

	"github.com/cyclamentray/cyclamentray/config"
)

//go:embed mwambao/*.hujson consorcio/*.hujson
var files embed.FS

// Documents returns the documents of both example users for one deployment. Both
// define the same failure domains, so only Mwambao's definitions are included.
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
