package kvstore

import (
	"context"
	"net"

	"github.com/VictoriaMetrics/metrics"

	"github.com/cyclamentray/cyclamentray/internal/countedconn"
)

// countedDial returns a dial function whose connections count their bytes in
// set, as cyclamentray_platform_bytes_total.
func countedDial(set *metrics.Set) func(ctx context.Context, network, address string) (net.Conn, error) {
	dialer := &net.Dialer{Timeout: callTimeout}
	return func(ctx context.Context, network, address string) (net.Conn, error) {
		conn, err := dialer.DialContext(ctx, network, address)
		if err != nil {
			return nil, err
		}
		return countedconn.New(conn, set, "cyclamentray_platform_bytes_total"), nil
	}
}
