package settings

import (
	"github.com/cyclamentray/cyclamentray/internal/schema"
)

const (
	unitMillis  = "ms"
	unitSeconds = "s"
	unitBytes   = "bytes"
)

// settingsSchema defines every field of the settings with its type, unit,
// default, range and description.
var settingsSchema = schema.Field{Type: schema.Object, Fields: []schema.Field{
	{Name: "host", Type: schema.Object, Doc: "who this host is", Fields: []schema.Field{
		{Name: "name", Type: schema.String, Required: true, Format: schema.NameFormat, Doc: "unique name of the host"},
		{Name: "failureDomain", Type: schema.String, Required: true, Format: schema.NameFormat, Doc: "failure domain that the host stands in"},
		{Name: "region", Type: schema.String, Required: true, Format: schema.NameFormat, Doc: "region of the failure domain"},
		{Name: "rack", Type: schema.String, Default: "", Doc: "rack, for logs"},
	}},
	{Name: "listen", Type: schema.Object, Doc: "addresses to listen on", Fields: []schema.Field{
		{Name: "http", Type: schema.String, Default: "127.0.0.1:7070", Format: schema.AddressFormat, Doc: "callers, operators and probes"},
		{Name: "peer", Type: schema.String, Default: "127.0.0.1:7071", Format: schema.AddressFormat, Doc: "net/rpc between entry hosts"},
	}},
	{Name: "advertise", Type: schema.Object, Doc: "addresses that others use", Fields: []schema.Field{
		{Name: "http", Type: schema.String, Default: "", Format: schema.AddressFormat, Doc: "empty: listen.http"},
		{Name: "peer", Type: schema.String, Default: "", Format: schema.AddressFormat, Doc: "empty: listen.peer"},
	}},
	{Name: "platform", Type: schema.Object, Doc: "the platform's services", Fields: []schema.Field{
		{Name: "urls", Type: schema.List, Required: true, Min: 1, Max: 16, Doc: "base URLs of the key-value service and host list; tried in turn",
			Elem: &schema.Field{Type: schema.String, Required: true, Format: schema.URLFormat}},
	}},
	{Name: "seeds", Type: schema.List, Min: 0, Max: 64, Doc: "peer addresses of other entry hosts, asked while the platform cannot be reached",
		Elem: &schema.Field{Type: schema.String, Required: true, Format: schema.AddressFormat}},
	{Name: "operatorTokenHashes", Type: schema.List, Min: 0, Max: 64, Doc: "hashes of operators' tokens; empty: operators' calls are refused",
		Elem: &schema.Field{Type: schema.String, Required: true, Format: schema.HashFormat}},
	{Name: "tls", Type: schema.Object, Doc: "keys of the listeners", Fields: []schema.Field{
		keyFilesField("http", "towards callers and operators; empty: plain HTTP"),
		keyFilesField("peer", "between entry hosts, both sides checked; empty: plain TCP"),
		{Name: "reloadSeconds", Type: schema.Int, Unit: unitSeconds, Default: 10, Min: 1, Max: 3600, Doc: "how often changed key files are looked for"},
	}},
	{Name: "trace", Type: schema.Object, Doc: "where spans go", Fields: []schema.Field{
		{Name: "exporter", Type: schema.String, Default: "none", Enum: []string{"none", "stdout", "otlp"}, Doc: "none turns traces off"},
		{Name: "endpoint", Type: schema.String, Default: "", Format: schema.URLFormat, Doc: "collector, for otlp"},
		{Name: "samplePercent", Type: schema.Int, Unit: "%", Default: 100, Min: 1, Max: 100, Doc: "share of new traces that are recorded"},
	}},
	{Name: "log", Type: schema.Object, Doc: "logs, on standard error", Fields: []schema.Field{
		{Name: "level", Type: schema.String, Default: "info", Enum: []string{"debug", "info", "warn", "error"}, Doc: "least severe level that is logged"},
	}},
	{Name: "limits", Type: schema.Object, Doc: "what one host takes", Fields: []schema.Field{
		{Name: "documentBytes", Type: schema.Int, Unit: unitBytes, Default: 1 << 20, Min: 1 << 10, Max: schema.MaxBytes, Doc: "largest body of an operators' edit"},
	}},
	{Name: "timing", Type: schema.Object, Doc: "intervals and time limits", Fields: timingFields},
}}

func keyFilesField(name, doc string) schema.Field {
	return schema.Field{Name: name, Type: schema.Object, Doc: doc, Fields: []schema.Field{
		{Name: "certFile", Type: schema.String, Default: "", Doc: "PEM certificate chain"},
		{Name: "keyFile", Type: schema.String, Default: "", Doc: "PEM private key"},
		{Name: "caFile", Type: schema.String, Default: "", Doc: "PEM certificates that sign the other side's"},
	}}
}

var timingFields = []schema.Field{
	durationField("schedulerLeaseMillis", unitMillis, 5000, 500, 60_000, "lease of a failure domain's scheduler"),
	durationField("ledgerBatchMillis", unitMillis, 50, 0, 2000, "how long changes of jobs gather into one write"),
	durationField("peerTimeoutMillis", unitMillis, 2000, 50, 30_000, "deadline of one call to an entry host"),
	durationField("drainWaitSeconds", unitSeconds, 5, 0, 300, "time reported as not ready before listeners close"),
	durationField("drainTimeoutSeconds", unitSeconds, 120, 1, 3600, "longest time for requests to finish on shutdown"),
}

func durationField(name, unit string, defaultValue, minValue, maxValue int, doc string) schema.Field {
	return schema.Field{Name: name, Type: schema.Int, Unit: unit, Default: defaultValue, Min: minValue, Max: maxValue, Doc: doc}
}
