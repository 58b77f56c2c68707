package config

import (
	"encoding/json"
	"testing"

	"github.com/shoenig/test/must"

	"github.com/cyclamentray/cyclamentray/apierr"
)

func TestParseDocuments_ReportsEveryMistake(t *testing.T) {
	_, err := ParseDocuments("org.hujson", []byte(`[
  // two documents, four mistakes
  {"kind": "organisation", "name": "Pwani", "teems": [],
   "guarantees": [{"failureDomain": "fd-a", "shape": {"tasks": -2, "acceleratorsPerTask": 8}}]},
  {"kind": "servise", "name": "filings"},
]`))
	must.Eq(t, apierr.InvalidInput, apierr.KindOf(err))
	var got []string
	for _, m := range apierr.From(err).Details {
		must.NotEq(t, "", m.Remedy)
		got = append(got, m.Error())
	}
	must.Eq(t, []string{
		`org.hujson:3: [0].name: "Pwani" is malformed; write 1 to 63 lower-case letters, digits and hyphens`,
		`org.hujson:3: [0].teems: unknown field; did you mean "teams"?`,
		`org.hujson:4: [0].guarantees[0].shape.tasks: -2 is out of range; write an integer from 1 to 64 tasks`,
		`org.hujson:5: [1].kind: "servise" is not one of the allowed values; write one of organisation, service, failure-domain`,
	}, got)
}

func TestParseDocuments_SetsDefaultsAndSurvivesRoundTrip(t *testing.T) {
	docs, err := ParseDocuments("svc.hujson", []byte(`{"kind": "service", "name": "filings", "organisation": "pwani", "team": "levy",
	  "jobs": [{"name": "train", "shape": {"tasks": 2, "acceleratorsPerTask": 8}, "runSeconds": 60}]}`))
	must.NoError(t, err)
	must.Len(t, 1, docs)
	must.Eq(t, 3, docs[0].Service.Jobs[0].MaxFailures)
	must.Nil(t, docs[0].Service.Requests)

	data, err := json.Marshal(docs[0])
	must.NoError(t, err)
	again, err := ParseDocuments("again", data)
	must.NoError(t, err)
	must.Eq(t, docs[0].Service, again[0].Service)
}

func FuzzParseDocuments(f *testing.F) {
	f.Add([]byte(`{"kind": "failure-domain", "name": "fd-a", "region": "east"}`))
	f.Add([]byte(`[{"kind": "organisation", "name": "pwani", "guarantees": [{"failureDomain": "fd-a", "shape": {"tasks": 1, "acceleratorsPerTask": 1}}]}, // c
	  {"kind": "service", "name": "s", "organisation": "pwani", "team": "t", "requests": {}}]`))
	f.Fuzz(func(t *testing.T, data []byte) {
		docs, err := ParseDocuments("f", data)
		if err != nil {
			must.NotEq(t, apierr.Internal, apierr.KindOf(err))
			return
		}
		_ = CheckDocuments(docs, nil)
		text, err := json.Marshal(docs)
		must.NoError(t, err)
		again, err := ParseDocuments("again", text)
		must.NoError(t, err)
		textAgain, err := json.Marshal(again)
		must.NoError(t, err)
		must.Eq(t, string(text), string(textAgain))
	})
}
