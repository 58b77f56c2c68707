package httpjson

import (
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/cockroachdb/errors"
	"github.com/shoenig/test/must"

	"github.com/cyclamentray/cyclamentray/apierr"
)

type message struct {
	Tasks int `json:"tasks"`
	Shape struct {
		Name string `json:"name"`
	} `json:"shape"`
}

func TestRead_BadBodies(t *testing.T) {
	cases := []struct {
		name, body, want string
		status           int
	}{
		{"good", `{"tasks": 2}`, "", 200},
		{"empty", ``, "body is empty; send one JSON value", 400},
		{"malformed", `{"tasks": 2`, "malformed JSON: unexpected EOF; send one well-formed JSON value", 400},
		{"not UTF-8 nor JSON", "\xff\xfe", "malformed JSON: invalid character 'ÿ' looking for beginning of value; send one well-formed JSON value", 400},
		{"two values", `{} {}`, "body holds more than one JSON value; send exactly one JSON value", 400},
		{"unknown field", `{"taks": 2}`, "taks: unknown field; remove it, or check its spelling", 400},
		{"wrong type", `{"shape": {"name": 7}}`, "shape.name: number where string is expected; send a value of the expected type", 400},
		{"too deep", strings.Repeat(`{"shape":`, 20_000), "body exceeds 4096 bytes; send less in one request", 413},
		{"oversize", `{"tasks": ` + strings.Repeat(" ", 5000) + `2}`, "body exceeds 4096 bytes; send less in one request", 413},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			w := httptest.NewRecorder()
			var m message
			err := Read(w, httptest.NewRequest("POST", "/", strings.NewReader(c.body)), 4096, &m)
			if c.want == "" {
				must.NoError(t, err)
				must.Eq(t, 2, m.Tasks)
				return
			}
			must.EqError(t, err, c.want)
			WriteError(w, err)
			must.Eq(t, c.status, w.Code)
			must.Eq(t, apierr.From(err), ReadError(w.Code, w.Body.Bytes()))
		})
	}
}

func TestWriteError_FindsTheTypedErrorInTheChain(t *testing.T) {
	w := httptest.NewRecorder()
	WriteError(w, errors.Wrap(apierr.New(apierr.Conflict, "revision 3 is in force", "read it again"), "apply"))
	must.Eq(t, http.StatusConflict, w.Code)
	must.Eq(t, `{"error":{"kind":"conflict","message":"revision 3 is in force","remedy":"read it again"}}`+"\n", w.Body.String())
}

func TestReadError_BodyWithoutTypedError(t *testing.T) {
	must.ErrorContains(t, ReadError(502, []byte("<html>")), "status 502 carries no error")
}
