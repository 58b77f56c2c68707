package client_test

import (
	"net/http"
	"net/http/httptest"
	"testing"

	"github.com/shoenig/test/must"

	"github.com/cyclamentray/cyclamentray/apierr"
	"github.com/cyclamentray/cyclamentray/client"
)

func TestRequest_OutcomeIsUnknownOnlyAfterConnecting(t *testing.T) {
	s := httptest.NewServer(http.HandlerFunc(func(http.ResponseWriter, *http.Request) { panic(http.ErrAbortHandler) }))
	_, err := client.New(s.URL, "").Request(t.Context(), "POST", "billing", "x", "", nil)
	must.Eq(t, apierr.OutcomeUnknown, apierr.KindOf(err))
	s.Close()
	_, err = client.New(s.URL, "").Request(t.Context(), "POST", "billing", "x", "", nil)
	must.Eq(t, apierr.Unavailable, apierr.KindOf(err))
}
