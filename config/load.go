package config

import (
	"os"
	"path/filepath"
	"strings"

	"github.com/cyclamentray/cyclamentray/apierr"
)

// documentSuffixes are the suffixes of the files read from a directory.
var documentSuffixes = []string{".hujson", ".json"}

// LoadDocuments reads the documents in files and in all .hujson and .json files of
// directories, in order of file name. The error is an *apierr.Error with the mistakes
// of every file.
func LoadDocuments(paths ...string) ([]Document, error) {
	files, mistakes := documentFiles(paths)
	var docs []Document
	for _, file := range files {
		found, err := loadFile(file)
		if err != nil {
			mistakes = append(mistakes, apierr.Flatten(err)...)
		}
		docs = append(docs, found...)
	}
	if e := apierr.Join(mistakes); e != nil {
		return nil, e
	}
	return docs, nil
}

func loadFile(file string) ([]Document, error) {
	data, err := os.ReadFile(file)
	if err != nil {
		return nil, unreadable(file, err)
	}
	return ParseDocuments(file, data)
}

// documentFiles returns the files to read for paths, and a mistake for each directory
// without documents.
func documentFiles(paths []string) (files []string, mistakes []*apierr.Error) {
	for _, path := range paths {
		entries, err := os.ReadDir(path)
		if err != nil { // not a directory: a file, or unreadable, which loadFile reports
			files = append(files, path)
			continue
		}
		before := len(files)
		for _, e := range entries {
			if !e.IsDir() && isDocumentFile(e.Name()) {
				files = append(files, filepath.Join(path, e.Name()))
			}
		}
		if len(files) == before {
			m := apierr.Invalid("", "directory holds no documents", "put .hujson or .json files in it")
			m.File = path
			mistakes = append(mistakes, m)
		}
	}
	return files, mistakes
}

func isDocumentFile(name string) bool {
	for _, suffix := range documentSuffixes {
		if strings.HasSuffix(name, suffix) {
			return true
		}
	}
	return false
}

func unreadable(file string, err error) *apierr.Error {
	e := apierr.Invalid("", err.Error(), "name a file that can be read")
	e.File = file
	return e
}
