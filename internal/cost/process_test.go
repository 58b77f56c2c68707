package cost

import (
	"fmt"
	"os"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

// ticksPerSecond is the number of clock ticks per second. Clock ticks are the unit
// of processor time in /proc/PID/stat.
const ticksPerSecond = 100

// usage is what a process has used since it started.
type usage struct {
	at     time.Time
	cpu    time.Duration
	bytes  int // rchar and wchar: read and written, over all sockets and files
	memory int // resident, in bytes
}

// readUsage reads a process's usage from Linux's /proc.
func readUsage(b *testing.B, pid int) usage {
	b.Helper()
	u := usage{at: time.Now()}
	stat := procFile(b, pid, "stat")
	// The fields after the program's name, which may contain spaces. utime and stime
	// are fields 14 and 15 of the line, and these start at field 3.
	fields := strings.Fields(stat[strings.LastIndex(stat, ")")+1:])
	user, err := strconv.Atoi(fields[11])
	must.NoError(b, err)
	system, err := strconv.Atoi(fields[12])
	must.NoError(b, err)
	u.cpu = time.Duration(user+system) * time.Second / ticksPerSecond
	u.bytes = procField(b, pid, "io", "rchar:") + procField(b, pid, "io", "wchar:")
	u.memory = procField(b, pid, "status", "VmRSS:") << 10
	return u
}

func procFile(b *testing.B, pid int, name string) string {
	b.Helper()
	text, err := os.ReadFile(fmt.Sprintf("/proc/%d/%s", pid, name))
	must.NoError(b, err)
	return string(text)
}

func procField(b *testing.B, pid int, file, field string) int {
	b.Helper()
	for line := range strings.Lines(procFile(b, pid, file)) {
		words := strings.Fields(line)
		if len(words) > 1 && words[0] == field {
			n, err := strconv.Atoi(words[1])
			must.NoError(b, err)
			return n
		}
	}
	b.Fatalf("no %s in /proc/%d/%s", field, pid, file)
	return 0
}
