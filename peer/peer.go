// Package peer carries net/rpc calls between entry hosts. Every call has a
// deadline and a trace context.
package peer

import "context"

// Caller calls a method, such as "Config.Latest", of the entry host whose peer
// listener is at address. It returns an error when ctx ends first.
// Implementations are safe for concurrent use.
type Caller interface {
	Call(ctx context.Context, address, method string, args, reply any) error
}
