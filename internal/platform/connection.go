package platform

import "context"

type newConnectionKey struct{}

// WithNewConnection returns a context whose calls do not use connections of earlier calls.
// An old connection may have gone silent without a sign.
func WithNewConnection(ctx context.Context) context.Context {
	return context.WithValue(ctx, newConnectionKey{}, true)
}

// WantsNewConnection reports whether ctx was made by WithNewConnection.
func WantsNewConnection(ctx context.Context) bool { return ctx.Value(newConnectionKey{}) != nil }
