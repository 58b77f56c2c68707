package config

import (
	"sort"
	"sync"

	"github.com/cyclamentray/cyclamentray/auth"
)

// Credentials returns a function that returns the organisations' credentials in
// force, for auth.Options. The function is safe for concurrent use.
func Credentials(src Source) func() []auth.Credential {
	c := &credentialCache{src: src}
	return c.current
}

// credentialCache decodes token hashes once per snapshot instead of once per request.
type credentialCache struct {
	src  Source
	mu   sync.Mutex
	snap *Snapshot // snapshot that list was decoded from
	list []auth.Credential
}

func (c *credentialCache) current() []auth.Credential {
	snap, _ := c.src.Current()
	c.mu.Lock()
	defer c.mu.Unlock()
	if snap != c.snap {
		c.snap, c.list = snap, credentials(snap)
	}
	return c.list
}

func credentials(snap *Snapshot) []auth.Credential {
	var list []auth.Credential
	for _, name := range sortedNames(snap.Organisations) {
		for _, s := range snap.Organisations[name].TokenHashes {
			if h, ok := auth.ParseHash(s); ok {
				list = append(list, auth.Credential{Hash: h, Identity: auth.Identity{Organisation: name}})
			}
		}
	}
	return list
}

// sortedNames returns the keys of m in order.
func sortedNames[V any](m map[string]V) []string {
	names := make([]string, 0, len(m))
	for name := range m {
		names = append(names, name)
	}
	sort.Strings(names)
	return names
}
