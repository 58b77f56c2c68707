package kvstore

import "context"

type urgentKey struct{}

// Urgent marks calls under ctx as urgent: they pass the call budget first.
func Urgent(ctx context.Context) context.Context {
	return context.WithValue(ctx, urgentKey{}, true)
}

func isUrgent(ctx context.Context) bool {
	urgent, _ := ctx.Value(urgentKey{}).(bool)
	return urgent
}
