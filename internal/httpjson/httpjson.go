// Package httpjson reads and writes JSON bodies with net/http. Request bodies are
// limited in size, unknown fields are rejected, and errors are written as
// {"error": apierr.Error} with the HTTP status of their kind. HTTP handlers and
// package client use it; it holds no state.
package httpjson

import (
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strings"

	"github.com/cockroachdb/errors"

	"github.com/cyclamentray/cyclamentray/apierr"
)

const contentType = "application/json"

// ErrorBody is the body of every error response.
type ErrorBody struct {
	Error *apierr.Error `json:"error"`
}

// ReadBytes reads a whole body of at most limit bytes.
func ReadBytes(w http.ResponseWriter, r *http.Request, limit int64) ([]byte, error) {
	data, err := io.ReadAll(http.MaxBytesReader(w, r.Body, limit))
	var tooLarge *http.MaxBytesError
	if errors.As(err, &tooLarge) {
		return nil, apierr.New(apierr.TooLarge, fmt.Sprintf("body exceeds %d bytes", limit), "send less in one request")
	}
	if err != nil {
		return nil, apierr.New(apierr.InvalidInput, "body was cut off", "send the whole body, with its true Content-Length")
	}
	return data, nil
}

// Read decodes a body of at most limit bytes that holds exactly one JSON value
// into v. It rejects unknown fields.
func Read(w http.ResponseWriter, r *http.Request, limit int64, v any) error {
	data, err := ReadBytes(w, r, limit)
	if err != nil {
		return err
	}
	return Decode(data, v)
}

// Decode decodes exactly one JSON value into v. It rejects unknown fields.
func Decode(data []byte, v any) error {
	d := json.NewDecoder(strings.NewReader(string(data)))
	d.DisallowUnknownFields()
	if err := d.Decode(v); err != nil {
		return decodeError(err)
	}
	if _, err := d.Token(); err != io.EOF {
		return apierr.New(apierr.InvalidInput, "body holds more than one JSON value", "send exactly one JSON value")
	}
	return nil
}

func decodeError(err error) *apierr.Error {
	var wrongType *json.UnmarshalTypeError
	if errors.As(err, &wrongType) {
		message := fmt.Sprintf("%s where %s is expected", wrongType.Value, wrongType.Type)
		return apierr.Invalid(wrongType.Field, message, "send a value of the expected type")
	}
	if field, ok := strings.CutPrefix(err.Error(), "json: unknown field "); ok {
		return apierr.Invalid(strings.Trim(field, `"`), "unknown field", "remove it, or check its spelling")
	}
	if errors.Is(err, io.EOF) {
		return apierr.New(apierr.InvalidInput, "body is empty", "send one JSON value")
	}
	return apierr.New(apierr.InvalidInput, "malformed JSON: "+err.Error(), "send one well-formed JSON value")
}

// Write writes a response with v as JSON.
func Write(w http.ResponseWriter, status int, v any) {
	data, err := json.Marshal(v)
	if err != nil {
		status = http.StatusInternalServerError
		data = []byte(`{"error":{"kind":"internal","message":"answer could not be encoded"}}`)
	}
	w.Header().Set("Content-Type", contentType)
	w.WriteHeader(status)
	_, _ = w.Write(append(data, '\n')) // an error means that the caller has disconnected
}

// WriteError writes a response with the typed error in err's chain and the HTTP
// status of its kind.
func WriteError(w http.ResponseWriter, err error) {
	e := apierr.From(err)
	Write(w, e.Status(), ErrorBody{Error: e})
}

// ReadError returns the typed error in a response's body. If there is none, it
// returns an Internal error that contains the status.
func ReadError(status int, body []byte) *apierr.Error {
	var b ErrorBody
	if err := json.Unmarshal(body, &b); err == nil && b.Error != nil && b.Error.Kind != "" {
		return b.Error
	}
	return apierr.New(apierr.Internal, fmt.Sprintf("answer with status %d carries no error", status), "check that the address is an entry host's")
}
