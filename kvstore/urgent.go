package kvstore

import "context"

type urgentKey struct{}

// Urgent returns a context whose calls are urgent: they do not wait for the call
// budget and are not held back while the platform is down.
func Urgent(ctx context.Context) context.Context {
	return context.WithValue(ctx, urgentKey{}, true)
}

func isUrgent(ctx context.Context) bool {
	urgent, _ := ctx.Value(urgentKey{}).(bool)
	return urgent
}
