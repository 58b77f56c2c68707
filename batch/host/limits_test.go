package host

import (
	"testing"

	"github.com/shoenig/test/must"
)

// Guards against limits that callers inside the pages' limits meet, or that exceed the machine.
func TestLimitsFollowFromTheMachine(t *testing.T) {
	for _, machine := range []struct {
		memoryMB, maxFDs int
		conns            int
		bodyMB           int64
	}{
		{144, 3075, 576, 9}, {284, 4100, 975, 17}, {536, 8192, 1998, 33}, {128, 600, 100, 8}, {0, 0, 206, 8},
	} {
		l := LimitsFor(int64(machine.memoryMB), machine.maxFDs)
		must.EqOp(t, machine.conns, l.APIConns, must.Sprint(machine))
		must.EqOp(t, machine.conns, l.PeerConns, must.Sprint(machine))
		must.EqOp(t, machine.bodyMB, l.BodyBytes>>20, must.Sprint(machine))
		must.EqOp(t, l.BodyBytes, l.MessageBytes)
	}
}
