package membership

import (
	"fmt"
	"testing"

	"github.com/cyclamentray/cyclamentray/kvstore"
)

func BenchmarkView(b *testing.B) {
	for _, n := range []int{125, 250, 500, 1000} {
		b.Run(fmt.Sprint(n, " hosts"), func(b *testing.B) {
			t := newTable(entryHost("n1-a", "n1"))
			var hosts []kvstore.Host
			for i := range n {
				hosts = append(hosts, kvstore.Host{Name: fmt.Sprintf("n%d-w%d", i%4, i), Kind: kvstore.Worker, FailureDomain: fmt.Sprintf("n%d", i%4)})
			}
			t.applyList(t0, hosts)
			for b.Loop() {
				t.view(t0)
			}
		})
	}
}
