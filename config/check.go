package config

import (
	"fmt"

	"github.com/cyclamentray/cyclamentray/apierr"
	"github.com/cyclamentray/cyclamentray/job"
)

// CheckDocuments checks documents against each other and against those in force,
// which they add to or replace. existing may be nil. The error is an
// *apierr.Error with every mistake found. Mistakes within a single document are
// found by ParseDocuments.
func CheckDocuments(docs []Document, existing *Snapshot) error {
	if existing == nil {
		existing = &Snapshot{}
	}
	c := &checker{existing: existing, merged: merge(docs, existing)}
	c.checkDuplicates(docs)
	for i := range docs {
		c.checkDocument(&docs[i])
	}
	c.checkTeamsInUse(docs)
	if e := apierr.Join(c.mistakes); e != nil {
		return e
	}
	return nil
}

// CheckSnapshot checks all documents of a snapshot against each other.
func CheckSnapshot(snap *Snapshot) error {
	return CheckDocuments(snap.Documents(), &Snapshot{Retired: snap.Retired})
}

// SnapshotOf returns a snapshot of docs, against which other documents can be checked.
func SnapshotOf(revision uint64, docs []Document, retired map[string]uint64) *Snapshot {
	s := merge(docs, &Snapshot{})
	s.Revision, s.Retired = revision, retired
	return s
}

// Documents returns the snapshot's documents, ordered by kind and name.
func (s *Snapshot) Documents() []Document {
	var docs []Document
	for _, name := range sortedNames(s.FailureDomains) {
		v := s.FailureDomains[name]
		docs = append(docs, Document{Kind: KindFailureDomain, FailureDomain: &v})
	}
	for _, name := range sortedNames(s.Organisations) {
		v := s.Organisations[name]
		docs = append(docs, Document{Kind: KindOrganisation, Organisation: &v})
	}
	for _, name := range sortedNames(s.Services) {
		v := s.Services[name]
		docs = append(docs, Document{Kind: KindService, Service: &v})
	}
	return docs
}

// resolveOut returns docs with Out set in every failure domain's document. A
// document that omits the field takes the value in force, so that applying it
// again does not bring back a failure domain that was taken out in the meantime.
func resolveOut(docs []Document, existing *Snapshot) []Document {
	resolved := make([]Document, len(docs))
	for i, d := range docs {
		if d.outOmitted {
			fd := *d.FailureDomain
			fd.Out = existing.FailureDomains[fd.Name].Out
			d.FailureDomain, d.outOmitted = &fd, false
		}
		resolved[i] = d
	}
	return resolved
}

// merge returns existing with docs added or replaced.
func merge(docs []Document, existing *Snapshot) *Snapshot {
	m := &Snapshot{
		Organisations:  copyMap(existing.Organisations),
		Services:       copyMap(existing.Services),
		FailureDomains: copyMap(existing.FailureDomains),
	}
	for _, d := range docs {
		switch d.Kind {
		case KindOrganisation:
			m.Organisations[d.Name()] = *d.Organisation
		case KindService:
			m.Services[d.Name()] = *d.Service
		case KindFailureDomain:
			m.FailureDomains[d.Name()] = *d.FailureDomain
		}
	}
	return m
}

func copyMap[V any](m map[string]V) map[string]V {
	out := make(map[string]V, len(m))
	for k, v := range m {
		out[k] = v
	}
	return out
}

// checker collects the mistakes of one CheckDocuments call.
type checker struct {
	existing *Snapshot // documents in force
	merged   *Snapshot // existing with the checked documents applied
	mistakes []*apierr.Error
}

// addMistake records a mistake in a field of d, with its file and line if known.
func (c *checker) addMistake(d *Document, field, message, remedy string) {
	path := d.path
	if path != "" && field != "" {
		path += "."
	}
	path += field
	e := apierr.Invalid(path, d.ID()+": "+message, remedy)
	e.File = d.file
	e.Line = d.lines[path]
	if e.Line == 0 {
		e.Line = d.lines[d.path]
	}
	c.mistakes = append(c.mistakes, e)
}

func (c *checker) checkDuplicates(docs []Document) {
	seen := map[string]bool{}
	for i := range docs {
		id := docs[i].ID()
		if seen[id] {
			c.addMistake(&docs[i], "name", "document appears twice", "keep one of the two")
		}
		seen[id] = true
	}
}

func (c *checker) checkDocument(d *Document) {
	switch d.Kind {
	case KindOrganisation:
		c.checkOrganisation(d, d.Organisation)
	case KindService:
		c.checkService(d, d.Service)
	}
}

func (c *checker) checkOrganisation(d *Document, o *Organisation) {
	teams := map[string]bool{}
	for i, t := range o.Teams {
		if teams[t.Name] {
			c.addMistake(d, fmt.Sprintf("teams[%d].name", i), "team "+t.Name+" appears twice", "keep one of the two")
		}
		teams[t.Name] = true
	}
	c.checkTokens(d, o)
	c.checkGuarantees(d, o)
}

// checkTokens refuses a hash that two organisations use, since the identity of a
// caller with that token would be ambiguous.
func (c *checker) checkTokens(d *Document, o *Organisation) {
	seen := map[string]bool{}
	for i, hash := range o.TokenHashes {
		field := fmt.Sprintf("tokenHashes[%d]", i)
		if seen[hash] {
			c.addMistake(d, field, "hash appears twice", "keep one of the two")
		}
		seen[hash] = true
		if c.hashUsedByAnother(o.Name, hash) {
			c.addMistake(d, field, "hash is in use by another organisation", "make a new token for this organisation")
		}
	}
}

// hashUsedByAnother reports whether another organisation has the token hash.
func (c *checker) hashUsedByAnother(organisation, hash string) bool {
	for name, other := range c.merged.Organisations {
		if name == organisation {
			continue
		}
		for _, h := range other.TokenHashes {
			if h == hash {
				return true
			}
		}
	}
	return false
}

func (c *checker) checkGuarantees(d *Document, o *Organisation) {
	type guaranteeKey struct {
		failureDomain string
		shape         job.Shape
	}
	seen := map[guaranteeKey]bool{}
	for i, g := range o.Guarantees {
		field := fmt.Sprintf("guarantees[%d]", i)
		if _, ok := c.merged.FailureDomains[g.FailureDomain]; !ok {
			c.addMistake(d, field+".failureDomain", "unknown failure domain "+g.FailureDomain, "apply its document first, or in the same call")
		}
		c.checkShape(d, field+".shape", g.Shape)
		key := guaranteeKey{g.FailureDomain, g.Shape}
		if seen[key] {
			c.addMistake(d, field, "the same shape is guaranteed twice in "+g.FailureDomain, "raise count of the first")
		}
		seen[key] = true
	}
}

// checkShape checks limits on combinations of fields, which the ranges of single
// fields do not cover.
func (c *checker) checkShape(d *Document, field string, s job.Shape) {
	if s.Adjacency == job.SameWorker && s.Accelerators() > maxAcceleratorsPerTask {
		message := fmt.Sprintf("%d accelerators on one worker", s.Accelerators())
		c.addMistake(d, field, message, `use adjacency "rack", or a smaller shape`)
	}
}

func (c *checker) checkService(d *Document, s *Service) {
	if revision, retired := c.existing.Retired[s.Name]; retired {
		c.addMistake(d, "name", fmt.Sprintf("the name was retired at revision %d", revision), "choose another name")
	}
	if old, ok := c.existing.Services[s.Name]; ok && old.Organisation != s.Organisation {
		c.addMistake(d, "organisation", "a service cannot move from organisation "+old.Organisation, "retire it and create one of another name")
	}
	c.checkOwner(d, s)
	c.checkTemplates(d, s)
	c.checkRequests(d, s)
}

func (c *checker) checkOwner(d *Document, s *Service) {
	org, ok := c.merged.Organisations[s.Organisation]
	if !ok {
		c.addMistake(d, "organisation", "unknown organisation "+s.Organisation, "apply its document first, or in the same call")
		return
	}
	if _, ok := findTeam(org, s.Team); !ok {
		c.addMistake(d, "team", "organisation "+org.Name+" has no team "+s.Team, "add the team to the organisation's document")
	}
}

func findTeam(o Organisation, name string) (Team, bool) {
	for _, t := range o.Teams {
		if t.Name == name {
			return t, true
		}
	}
	return Team{}, false
}

func (c *checker) checkTemplates(d *Document, s *Service) {
	team, _ := findTeam(c.merged.Organisations[s.Organisation], s.Team)
	seen := map[string]bool{}
	for i, t := range s.Jobs {
		field := fmt.Sprintf("jobs[%d]", i)
		if seen[t.Name] {
			c.addMistake(d, field+".name", "job template "+t.Name+" appears twice", "keep one of the two")
		}
		seen[t.Name] = true
		c.checkShape(d, field+".shape", t.Shape)
		if n := t.Shape.Accelerators(); team.Quota > 0 && n > team.Quota {
			message := fmt.Sprintf("%d accelerators exceed the quota of team %s, %d", n, team.Name, team.Quota)
			c.addMistake(d, field+".shape", message, "shrink the shape or raise the quota")
		}
	}
}

func (c *checker) checkRequests(d *Document, s *Service) {
	if s.Requests == nil {
		return
	}
	seen := map[string]bool{s.Organisation: true}
	for i, name := range s.Requests.ShareWith {
		field := fmt.Sprintf("requests.shareWith[%d]", i)
		if seen[name] {
			c.addMistake(d, field, "organisation "+name+" may call already", "remove it")
		}
		seen[name] = true
		if _, ok := c.merged.Organisations[name]; !ok {
			c.addMistake(d, field, "unknown organisation "+name, "apply its document first, or in the same call")
		}
	}
}

// checkTeamsInUse refuses an organisation's document that drops a team of a service,
// or lowers its quota below a job template of the service, unless the same edit
// replaces the service.
func (c *checker) checkTeamsInUse(docs []Document) {
	replaced := map[string]bool{}
	for i := range docs {
		replaced[docs[i].ID()] = true
	}
	for i := range docs {
		if docs[i].Kind != KindOrganisation {
			continue
		}
		for _, name := range sortedNames(c.existing.Services) {
			s := c.existing.Services[name]
			if s.Organisation == docs[i].Name() && !replaced[string(KindService)+"/"+name] {
				c.checkTeamOf(&docs[i], &s)
			}
		}
	}
}

// checkTeamOf checks that organisation document d keeps the team of service s, with
// a sufficient quota.
func (c *checker) checkTeamOf(d *Document, s *Service) {
	team, ok := findTeam(*d.Organisation, s.Team)
	if !ok {
		c.addMistake(d, "teams", "team "+s.Team+" owns service "+s.Name, "keep the team, or retire or move the service first")
		return
	}
	for _, t := range s.Jobs {
		if n := t.Shape.Accelerators(); team.Quota > 0 && n > team.Quota {
			message := fmt.Sprintf("quota %d of team %s is below job template %s of service %s, %d accelerators", team.Quota, team.Name, t.Name, s.Name, n)
			c.addMistake(d, "teams", message, "raise the quota or shrink the template first")
		}
	}
}
