package config

import (
	"strings"
	"testing"

	"github.com/shoenig/test/must"

	"github.com/cyclamentray/cyclamentray/internal/golden"
)

func TestExamples_AreValidAndOfTheStatedSize(t *testing.T) {
	for _, user := range []string{"mwambao", "consorcio"} {
		docs, err := LoadDocuments("../examples/" + user)
		must.NoError(t, err)
		must.NoError(t, CheckDocuments(docs, nil))
		snap := merge(docs, &Snapshot{})
		must.MapLen(t, 4, snap.FailureDomains)
		must.MapLen(t, 4, snap.Organisations)
		requests := 0
		for _, s := range snap.Services {
			if s.Requests != nil {
				requests++
				must.Len(t, 3, s.Requests.ShareWith)
			}
		}
		must.Eq(t, 1, requests)
	}
}

// All partners of the example consorcio must get the same treatment, so their teams
// and guarantees must be equal.
func TestExamples_ConsorcioPartnersHaveTheSameTerms(t *testing.T) {
	docs, err := LoadDocuments("../examples/consorcio/organisations.hujson")
	must.NoError(t, err)
	for _, d := range docs[1:] {
		must.Eq(t, docs[0].Organisation.Teams, d.Organisation.Teams)
		must.Eq(t, docs[0].Organisation.Guarantees, d.Organisation.Guarantees)
	}
}

func TestDescribe_MatchesDocumentedFields(t *testing.T) {
	var b strings.Builder
	must.NoError(t, Describe(&b))
	golden.CheckFile(t, "../docs/operators/document-fields.txt", strings.TrimSpace(b.String())+"\n")
}
