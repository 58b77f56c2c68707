package placement

// Estimates holds run times learned per service and template.
type Estimates struct{}
