package mechanism_test

import (
	"testing"

	"github.com/shoenig/test/must"

	"github.com/cyclamentray/cyclamentray/batch/mechanism"
)

func TestParseSwitchesOffOnlyTheNamedMechanisms(t *testing.T) {
	off, err := mechanism.Parse([]string{"preemption", "moves"})
	must.NoError(t, err)
	for _, m := range mechanism.All() {
		must.Eq(t, m != mechanism.Preemption && m != mechanism.Moves, off.On(m), must.Sprint(m))
	}
}

func TestParseRefusesUnknownMechanisms(t *testing.T) {
	_, err := mechanism.Parse([]string{"preemptions"})
	must.ErrorContains(t, err, `unknown mechanism "preemptions"`)
}

func TestNothingIsOffByDefault(t *testing.T) {
	for _, m := range mechanism.All() {
		must.True(t, mechanism.Set{}.On(m), must.Sprint(m))
	}
}
