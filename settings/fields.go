package settings

import (
	"github.com/cyclamentray/cyclamentray/internal/schema"
)

const (
	unitMillis  = "ms"
	unitSeconds = "s"
	unitBytes   = "bytes"
)

// root describes every field of the settings: unit, default, range, meaning.
var root = schema.Field{Type: schema.Object, Fields: []schema.Field{
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
		keyFiles("http", "towards callers and operators; empty: plain HTTP"),
		keyFiles("peer", "between entry hosts, both sides checked; empty: plain TCP"),
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
		{Name: "bodyBytes", Type: schema.Int, Unit: unitBytes, Default: 1 << 20, Min: 1 << 10, Max: 64 << 20, Doc: "largest body of a caller's request"},
		{Name: "answerBytes", Type: schema.Int, Unit: unitBytes, Default: 8 << 20, Min: 1 << 10, Max: 64 << 20, Doc: "largest answer of an upstream"},
		{Name: "documentBytes", Type: schema.Int, Unit: unitBytes, Default: 1 << 20, Min: 1 << 10, Max: schema.MaxBytes, Doc: "largest body of an operators' edit"},
	}},
	{Name: "timing", Type: schema.Object, Doc: "intervals and time limits", Fields: timingFields},
}}

func keyFiles(name, doc string) schema.Field {
	return schema.Field{Name: name, Type: schema.Object, Doc: doc, Fields: []schema.Field{
		{Name: "certFile", Type: schema.String, Default: "", Doc: "PEM certificate chain"},
		{Name: "keyFile", Type: schema.String, Default: "", Doc: "PEM private key"},
		{Name: "caFile", Type: schema.String, Default: "", Doc: "PEM certificates that sign the other side's"},
	}}
}

var timingFields = []schema.Field{
	duration("heartbeatMillis", unitMillis, 1000, 50, 60_000, "interval between heartbeats"),
	duration("heartbeatTimeoutMillis", unitMillis, 4000, 100, 300_000, "silence after which a host counts as gone"),
	duration("hostListMillis", unitMillis, 2000, 50, 60_000, "interval between reads of the platform's host list"),
	duration("confirmMillis", unitMillis, 500, 50, 1000, "interval between confirmations of the configuration"),
	duration("permitMillis", unitMillis, 2000, 100, 3000, "age of a confirmation under which tasks may start"),
	duration("reservationMillis", unitMillis, 1000, 100, 5000, "how long a worker holds a reservation"),
	duration("schedulerLeaseMillis", unitMillis, 5000, 500, 60_000, "lease of a failure domain's scheduler"),
	duration("taskLeaseMillis", unitMillis, 30_000, 1000, 600_000, "how long tasks run on without a renewal"),
	duration("taskRenewMillis", unitMillis, 8000, 100, 300_000, "interval between renewals of tasks"),
	duration("scheduleMillis", unitMillis, 500, 10, 10_000, "longest time between placement decisions"),
	duration("ledgerBatchMillis", unitMillis, 50, 0, 2000, "how long changes of jobs gather into one write"),
	duration("platformTimeoutMillis", unitMillis, 2000, 50, 30_000, "deadline of one call to the platform"),
	duration("peerTimeoutMillis", unitMillis, 2000, 50, 30_000, "deadline of one call to an entry host"),
	duration("checkpointGraceSeconds", unitSeconds, 30, 0, 3600, "time a task gets to save its work"),
	duration("idleConnectionSeconds", unitSeconds, 20, 1, 3600, "age at which idle connections to upstreams close"),
	duration("drainWaitSeconds", unitSeconds, 5, 0, 300, "time reported as not ready before listeners close"),
	duration("drainTimeoutSeconds", unitSeconds, 120, 1, 3600, "longest time for requests to finish on shutdown"),
}

func duration(name, unit string, byDefault, lowest, highest int, doc string) schema.Field {
	return schema.Field{Name: name, Type: schema.Int, Unit: unit, Default: byDefault, Min: lowest, Max: highest, Doc: doc}
}
