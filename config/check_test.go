package config

import (
	"encoding/json"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/shoenig/test/must"

	"github.com/cyclamentray/cyclamentray/apierr"
)

const validDocuments = `[
  {"kind": "failure-domain", "name": "fd-a", "region": "east"},
  {"kind": "organisation", "name": "pwani", "tokenHashes": ["` + hashA + `"],
   "teams": [{"name": "levy", "quota": 64}],
   "guarantees": [{"failureDomain": "fd-a", "shape": {"tasks": 2, "acceleratorsPerTask": 8}}]},
  {"kind": "organisation", "name": "ziwa", "tokenHashes": ["` + hashB + `"], "teams": [{"name": "levy"}]},
  {"kind": "service", "name": "filings", "organisation": "pwani", "team": "levy",
   "jobs": [{"name": "fit", "shape": {"tasks": 4, "acceleratorsPerTask": 8}, "runSeconds": 60}],
   "requests": {"shareWith": ["ziwa"]}},
]`

const (
	hashA = "0000000000000000000000000000000000000000000000000000000000000001"
	hashB = "0000000000000000000000000000000000000000000000000000000000000002"
)

func parse(t *testing.T, text string) []Document {
	t.Helper()
	docs, err := ParseDocuments("d", []byte(text))
	must.NoError(t, err)
	return docs
}

func TestCheckDocuments_AcceptsValidDocuments(t *testing.T) {
	docs := parse(t, validDocuments)
	must.NoError(t, CheckDocuments(docs, nil))
	snap := merge(docs, &Snapshot{})
	must.NoError(t, CheckSnapshot(snap))
	must.NoError(t, CheckDocuments(docs, snap))
}

func TestCheckDocuments_ReportsMistakesWithinOneEdit(t *testing.T) {
	cases := []struct {
		name, original, replacement, want string
	}{
		{"duplicate document", `"name": "ziwa"`, `"name": "pwani"`, "d:6: [2].name: organisation/pwani: document appears twice"},
		{"duplicate team", `{"name": "levy", "quota": 64}`, `{"name": "levy"}, {"name": "levy"}`, "d:4: [1].teams[1].name: organisation/pwani: team levy appears twice"},
		{"shared token", hashB, hashA, "d:3: [1].tokenHashes[0]: organisation/pwani: hash is in use by another organisation"},
		{"unknown failure domain", `"failureDomain": "fd-a"`, `"failureDomain": "fd-z"`, "d:5: [1].guarantees[0].failureDomain: organisation/pwani: unknown failure domain fd-z"},
		{"too many accelerators for a worker", `{"tasks": 2, "acceleratorsPerTask": 8}`, `{"tasks": 9, "acceleratorsPerTask": 8, "adjacency": "worker"}`, "d:5: [1].guarantees[0].shape: organisation/pwani: 72 accelerators on one worker"},
		{"unknown organisation", `"organisation": "pwani"`, `"organisation": "bahari"`, "d:7: [3].organisation: service/filings: unknown organisation bahari"},
		{"unknown team", `"team": "levy"`, `"team": "ops"`, "d:7: [3].team: service/filings: organisation pwani has no team ops"},
		{"beyond the quota", `"tasks": 4`, `"tasks": 16`, "d:8: [3].jobs[0].shape: service/filings: 128 accelerators exceed the quota of team levy, 64"},
		{"shared with its own organisation", `["ziwa"]`, `["pwani"]`, "d:9: [3].requests.shareWith[0]: service/filings: organisation pwani may call already"},
		{"shared with an unknown organisation", `["ziwa"]`, `["bahari"]`, "d:9: [3].requests.shareWith[0]: service/filings: unknown organisation bahari"},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			err := CheckDocuments(parse(t, strings.Replace(validDocuments, c.original, c.replacement, 1)), nil)
			must.StrContains(t, err.Error(), c.want)
			must.NotEq(t, "", apierr.Flatten(err)[0].Remedy)
		})
	}
}

func TestCheckDocuments_ReportsMistakesAgainstDocumentsInForce(t *testing.T) {
	inForce := merge(parse(t, validDocuments), &Snapshot{})
	inForce.Retired = map[string]uint64{"levies": 7}
	cases := []struct{ name, text, want string }{
		{"retired name", `{"kind": "service", "name": "levies", "organisation": "pwani", "team": "levy"}`, "retired at revision 7"},
		{"moved service", `{"kind": "service", "name": "filings", "organisation": "ziwa", "team": "levy"}`, "cannot move from organisation pwani"},
		{"team in use dropped", `{"kind": "organisation", "name": "pwani"}`, "team levy owns service filings"},
		{"quota below a template", `{"kind": "organisation", "name": "pwani", "teams": [{"name": "levy", "quota": 8}]}`, "quota 8 of team levy is below job template fit"},
		{"token in use", `{"kind": "organisation", "name": "new", "tokenHashes": ["` + hashA + `"]}`, "in use by another"},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			err := CheckDocuments(parse(t, c.text), inForce)
			must.ErrorContains(t, err, c.want)
		})
	}
}

// Applying a file again must not bring back a failure domain that operators took
// out in the meantime.
func TestResolveOut_OmittedFieldKeepsStateInForce(t *testing.T) {
	inForce := &Snapshot{FailureDomains: map[string]FailureDomain{"fd-a": {Name: "fd-a", Region: "east", Out: true}}}
	cases := []struct {
		text string
		out  bool
	}{
		{`{"kind": "failure-domain", "name": "fd-a", "region": "east"}`, true},
		{`{"kind": "failure-domain", "name": "fd-a", "region": "east", "out": false}`, false},
		{`{"kind": "failure-domain", "name": "fd-b", "region": "east"}`, false},
	}
	for _, c := range cases {
		sent, err := json.Marshal(parse(t, c.text)[0])
		must.NoError(t, err)
		resolved := resolveOut(parse(t, string(sent)), inForce)
		must.Eq(t, c.out, resolved[0].FailureDomain.Out, must.Sprint(c.text))
		stored, err := json.Marshal(resolved[0])
		must.NoError(t, err)
		must.StrContains(t, string(stored), `"out":`)
	}
}

func TestLoadDocuments_ReportsMistakesOfEveryFile(t *testing.T) {
	dir := t.TempDir()
	write := func(name, text string) {
		must.NoError(t, os.WriteFile(filepath.Join(dir, name), []byte(text), 0o600))
	}
	write("a.hujson", `{"kind": "failure-domain", "name": "fd-a"}`)
	write("b.json", `{"kind": "failure-domain", "region": "east"}`)
	write("README.md", `not a document`)
	_, err := LoadDocuments(dir, filepath.Join(dir, "absent.json"))
	must.Len(t, 3, apierr.Flatten(err))
	must.ErrorContains(t, err, "a.hujson:1: region: required field is missing")
	must.ErrorContains(t, err, "b.json:1: name: required field is missing")
	must.ErrorContains(t, err, "absent.json: open")
}
