package config

import (
	"github.com/cyclamentray/cyclamentray/internal/schema"
	"github.com/cyclamentray/cyclamentray/job"
)

// Limits of values in documents.
const (
	maxAcceleratorsPerTask = 64
	maxGuaranteeCount      = 1000
	maxQuota               = 100_000
	maxRunSeconds          = 90 * 24 * 3600
	maxTimeoutMillis       = 600_000
	maxListElements        = 1000
)

var kinds = []string{string(KindOrganisation), string(KindService), string(KindFailureDomain)}

func kindField() schema.Field {
	return schema.Field{Name: "kind", Type: schema.String, Required: true, Enum: kinds, Doc: "kind of document"}
}

func nameField(doc string) schema.Field { return requiredNameField("name", doc) }

// requiredNameField returns a field that holds a name: that of the document or one of
// its elements, or that of something else to which it refers.
func requiredNameField(name, doc string) schema.Field {
	return schema.Field{Name: name, Type: schema.String, Required: true, Format: schema.NameFormat, Doc: doc}
}

func listField(name, doc string, elem schema.Field) schema.Field {
	return schema.Field{Name: name, Type: schema.List, Min: 0, Max: maxListElements, Doc: doc, Elem: &elem}
}

func integerField(name, unit string, defaultValue any, lowest, highest int, doc string) schema.Field {
	return schema.Field{Name: name, Type: schema.Int, Unit: unit, Default: defaultValue, Required: defaultValue == nil, Min: lowest, Max: highest, Doc: doc}
}

func boolField(name, doc string) schema.Field {
	return schema.Field{Name: name, Type: schema.Bool, Default: false, Doc: doc}
}

func objectField(fields ...schema.Field) schema.Field {
	return schema.Field{Type: schema.Object, Fields: fields}
}

func shapeField(doc string) schema.Field {
	adjacencies := []string{string(job.SameWorker), string(job.SameRack), string(job.SameFailureDomain)}
	f := objectField(
		integerField("tasks", "tasks", nil, 1, job.MaxGangTasks, "tasks of the gang; all run or none"),
		integerField("acceleratorsPerTask", "accelerators", nil, 1, maxAcceleratorsPerTask, "accelerators of each task, on one worker"),
		schema.Field{Name: "adjacency", Type: schema.String, Default: string(job.SameRack), Enum: adjacencies, Doc: "what all tasks must share"},
	)
	f.Name, f.Doc = "shape", doc
	return f
}

var organisationFields = objectField(
	kindField(),
	nameField("unique among organisations"),
	listField("tokenHashes", "hashes of callers' tokens",
		schema.Field{Type: schema.String, Required: true, Format: schema.HashFormat}),
	listField("teams", "parts of the organisation", objectField(
		nameField("unique within the organisation"),
		integerField("quota", "accelerators", 0, 0, maxQuota, "most in use at once in a failure domain; 0: no quota"),
	)),
	listField("guarantees", "shapes that can always be reclaimed", objectField(
		requiredNameField("failureDomain", "where"),
		shapeField("what"),
		integerField("count", "shapes", 1, 1, maxGuaranteeCount, "how many at once"),
	)),
)

var serviceFields = objectField(
	kindField(),
	nameField("unique among services, also retired ones"),
	requiredNameField("organisation", "whose guarantees the jobs run under"),
	requiredNameField("team", "whose quota the jobs count against"),
	listField("jobs", "templates that jobs are submitted under", objectField(
		nameField("unique within the service"),
		shapeField("largest shape of a job"),
		integerField("runSeconds", "s", nil, 1, maxRunSeconds, "expected run time"),
		boolField("checkpoint", "tasks can save their work when asked"),
		boolField("urgent", "jobs may be submitted as urgent"),
		integerField("maxFailures", "runs", 3, 1, 100, "failed runs before the job itself fails"),
	)),
	requestsField(),
)

func requestsField() schema.Field {
	f := objectField(
		integerField("timeoutMillis", "ms", 10_000, 1, maxTimeoutMillis, "longest that a request may take"),
		listField("idempotentMethods", "methods that may be sent again", schema.Field{Type: schema.String, Required: true, Format: schema.MethodFormat}),
		listField("shareWith", "other organisations that may call", schema.Field{Type: schema.String, Required: true, Format: schema.NameFormat}),
	)
	f.Name, f.Doc, f.Optional = "requests", "short requests; absent: none are taken", true
	return f
}

var failureDomainFields = objectField(
	kindField(),
	nameField("unique among failure domains"),
	requiredNameField("region", "region it lies in"),
	schema.Field{Name: "out", Type: schema.Bool, Doc: "taken out of service: nothing starts here; absent: stays as it is, a new one is in"},
)

// unknownKindFields describes a document whose kind is missing or unknown, so that
// the check reports the kind.
var unknownKindFields = objectField(kindField())

// fieldsOf returns the fields of a kind of document; known is false if there is no
// such kind.
func fieldsOf(kind Kind) (fields *schema.Field, known bool) {
	switch kind {
	case KindOrganisation:
		return &organisationFields, true
	case KindService:
		return &serviceFields, true
	case KindFailureDomain:
		return &failureDomainFields, true
	}
	return &unknownKindFields, false
}
