package intake

import (
	"fmt"

	"github.com/cyclamentray/cyclamentray/apierr"
	"github.com/cyclamentray/cyclamentray/auth"
	"github.com/cyclamentray/cyclamentray/config"
	"github.com/cyclamentray/cyclamentray/job"
)

// checkSpec checks a submission against its service's document. It returns the
// record to store, or an error that lists every mistake in the shape and options.
func checkSpec(snap *config.Snapshot, who auth.Identity, spec job.Spec) (job.Record, error) {
	if err := checkID(who, spec.ID); err != nil {
		return job.Record{}, err
	}
	service, found := snap.Services[spec.ID.Service]
	if revision, retired := snap.Retired[spec.ID.Service]; retired {
		return job.Record{}, apierr.New(apierr.Retired,
			fmt.Sprintf("service %s was retired at revision %d", spec.ID.Service, revision),
			"submit under a service that is in use")
	}
	if !found || service.Organisation != spec.ID.Organisation {
		return job.Record{}, apierr.New(apierr.NotFound,
			"no service "+spec.ID.Service+" of organisation "+spec.ID.Organisation,
			"check the names, or have an operator apply the service's document")
	}
	for _, t := range service.Jobs {
		if t.Name == spec.Template {
			return job.Record{Spec: spec, Team: service.Team}, asError(checkTemplate(t, spec))
		}
	}
	return job.Record{}, apierr.Invalid("template",
		"service "+service.Name+" has no job template "+spec.Template, "use a template of the service's document")
}

// checkID checks that an ID is complete and valid, and that the caller may use
// its organisation.
func checkID(who auth.Identity, id job.ID) error {
	if id.Organisation == "" || id.Service == "" || id.Name == "" {
		return apierr.Invalid("id", "organisation, service and name are needed", "fill in all three")
	}
	for _, part := range []string{id.Organisation, id.Service, id.Name} {
		if !validName(part) {
			return apierr.Invalid("id", fmt.Sprintf("%q is not a valid name", part),
				"use 1 to 100 letters, digits, dots, dashes and underscores")
		}
	}
	if !who.MaySee(id.Organisation) {
		return apierr.New(apierr.Forbidden,
			"the token does not belong to organisation "+id.Organisation, "submit under your own organisation")
	}
	return nil
}

const maxNameBytes = 100

func validName(s string) bool {
	if s == "" || len(s) > maxNameBytes {
		return false
	}
	for _, c := range s {
		letter := (c >= 'a' && c <= 'z') || (c >= 'A' && c <= 'Z') || (c >= '0' && c <= '9')
		if !letter && c != '.' && c != '-' && c != '_' {
			return false
		}
	}
	return true
}

// adjacencyRank orders adjacencies from nearest to widest.
var adjacencyRank = map[job.Adjacency]int{job.SameWorker: 0, job.SameRack: 1, job.SameFailureDomain: 2}

// checkTemplate checks a spec against the limits of its template.
func checkTemplate(t config.JobTemplate, spec job.Spec) *apierr.Error {
	var mistakes []*apierr.Error
	addMistake := func(field, message, remedy string) {
		mistakes = append(mistakes, apierr.Invalid(field, message, remedy))
	}
	s := spec.Shape
	if s.Tasks < 1 || s.Tasks > job.MaxGangTasks {
		addMistake("shape.tasks", fmt.Sprintf("%d tasks", s.Tasks), fmt.Sprintf("use 1 to %d", job.MaxGangTasks))
	} else if s.Tasks > t.Shape.Tasks {
		addMistake("shape.tasks", fmt.Sprintf("%d tasks; template %s allows %d", s.Tasks, t.Name, t.Shape.Tasks),
			"submit a smaller gang or another template")
	}
	if s.AcceleratorsPerTask < 0 {
		addMistake("shape.acceleratorsPerTask", "it is negative", "use 0 or more")
	} else if s.AcceleratorsPerTask > t.Shape.AcceleratorsPerTask {
		addMistake("shape.acceleratorsPerTask",
			fmt.Sprintf("%d accelerators per task; template %s allows %d", s.AcceleratorsPerTask, t.Name, t.Shape.AcceleratorsPerTask),
			"submit smaller tasks or another template")
	}
	if !s.Adjacency.Valid() {
		addMistake("shape.adjacency", fmt.Sprintf("%q is not an adjacency", s.Adjacency), "use worker, rack or failure-domain")
	} else if adjacencyRank[s.Adjacency] < adjacencyRank[t.Shape.Adjacency] {
		addMistake("shape.adjacency", fmt.Sprintf("%s is nearer than template %s allows, %s", s.Adjacency, t.Name, t.Shape.Adjacency),
			"ask for the template's adjacency or a wider one")
	}
	if spec.Urgent && !t.Urgent {
		addMistake("urgent", "template "+t.Name+" takes no urgent jobs", "leave urgent out or use another template")
	}
	if spec.Checkpoint && !t.Checkpoint {
		addMistake("checkpoint", "tasks of template "+t.Name+" cannot save their work", "leave checkpoint out")
	}
	if spec.DeclaredRun < 0 {
		addMistake("declaredRunNanos", "it is negative", "leave it out or use the expected run time")
	}
	return apierr.Join(mistakes)
}

// asError converts e to an error: a nil *apierr.Error becomes a nil error.
func asError(e *apierr.Error) error {
	if e == nil {
		return nil
	}
	return e
}
