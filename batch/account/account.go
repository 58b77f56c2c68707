// Package account reconstructs the history of a batch job from the logs of all
// hosts: the decisions about the job, which host took them and on what grounds, and
// the cluster events at that time. It holds no state; the command line's account
// command calls it.
package account

import (
	"bufio"
	"bytes"
	"io"
	"sort"
	"strings"

	"github.com/cockroachdb/errors"
	"github.com/go-logfmt/logfmt"
)

// Line is one decoded log line.
type Line struct {
	Time   string // as written; sorts in order of time
	Host   string
	What   string // the log message
	Fields []Field
}

// Field is a key and its value in a log line.
type Field struct{ Key, Value string }

// Get returns the value of the first field with the key, or "".
func (l Line) Get(key string) string {
	for _, f := range l.Fields {
		if f.Key == key {
			return f.Value
		}
	}
	return ""
}

// Account is the history of one job.
type Account struct {
	Job   string
	Lines []Line // in order of time
	Read  int    // number of lines read, of any job
}

// runnerMessages are the lines about a runner that belong to the account of a job that ran there.
var runnerMessages = map[string]bool{
	"runner": true, "runner left": true, "runner's entry removed": true, "runner gone": true,
	"runner restarted": true, "runner fenced": true, "starts over": true,
}

// clusterMessages lists the messages of cluster events, which may affect any job.
var clusterMessages = map[string]bool{
	"term acquired": true, "term ended": true, "term lost: its lease has ended": true, "term lost: another host leads": true,
	"term given up": true, "term yielded to a stronger host": true, "records read": true, "store lost": true, "store regained": true,
	"started": true, "stopping": true, "stopped": true, "evacuation": true, "log lines dropped: output too slow": true,
}

const (
	maxLineBytes     = 1 << 20
	progressInterval = 200_000 // lines between two calls of progress
)

// Read reads logs and returns the account of a job. Lines may have a prefix
// before their time. progress, when set, is called with the number of lines read.
func Read(job string, logs []io.Reader, progress func(lines int)) (*Account, error) {
	a := &Account{Job: job}
	var clusterLines []Line
	jobRunners := make(map[string]bool)
	var runnerLines []Line
	for _, log := range logs {
		scanner := bufio.NewScanner(log)
		scanner.Buffer(make([]byte, 64<<10), maxLineBytes)
		for scanner.Scan() {
			a.Read++
			if progress != nil && a.Read%progressInterval == 0 {
				progress(a.Read)
			}
			text := scanner.Bytes()
			about := bytes.Contains(text, []byte(job))
			if !about && !namesNoJob(text) {
				continue
			}
			line, ok := parse(text)
			switch {
			case !ok:
			case about:
				a.Lines = append(a.Lines, line)
				jobRunners[line.Get("runner")] = true
			case runnerMessages[line.What]:
				runnerLines = append(runnerLines, line)
			case clusterMessages[line.What]:
				clusterLines = append(clusterLines, line)
			}
		}
		if err := scanner.Err(); err != nil {
			return nil, errors.Wrapf(err, "line %d of the logs", a.Read+1)
		}
	}
	a.addWithinJobTime(clusterLines, func(Line) bool { return true })
	a.addWithinJobTime(runnerLines, func(l Line) bool { return jobRunners[l.Get("runner")] })
	sort.SliceStable(a.Lines, func(i, j int) bool { return a.Lines[i].Time < a.Lines[j].Time })
	return a, nil
}

// addWithinJobTime adds the wanted lines that lie between the first and the last line
// about the job.
func (a *Account) addWithinJobTime(lines []Line, wanted func(Line) bool) {
	if len(a.Lines) == 0 {
		return
	}
	first, last := a.Lines[0].Time, a.Lines[0].Time
	for _, l := range a.Lines {
		first, last = min(first, l.Time), max(last, l.Time)
	}
	for _, l := range lines {
		if l.Time >= first && l.Time <= last && wanted(l) {
			a.Lines = append(a.Lines, l)
		}
	}
}

// namesNoJob reports, without decoding it, whether a line has no field job.
func namesNoJob(text []byte) bool { return !bytes.Contains(text, []byte(" job=")) }

// parse decodes a log line from its time on. It returns false for a line that is
// malformed or has no time or no message.
func parse(text []byte) (Line, bool) {
	start := bytes.Index(text, []byte("time="))
	if start < 0 {
		return Line{}, false
	}
	var line Line
	decoder := logfmt.NewDecoder(bytes.NewReader(text[start:]))
	for decoder.ScanRecord() {
		for decoder.ScanKeyval() {
			line.set(string(decoder.Key()), string(decoder.Value()))
		}
	}
	return line, decoder.Err() == nil && line.What != ""
}

func (l *Line) set(key, value string) {
	switch key {
	case "time":
		l.Time = value
	case "host":
		l.Host = value
	case "msg":
		l.What = value
	case "level":
	default:
		l.Fields = append(l.Fields, Field{key, value})
	}
}

// omittedValues are default values of fields, which String leaves out.
var omittedValues = map[string]string{"occurrence": "0", "waited": "0s", "factor": "0", "work": "0s", "reason": ""}

// String returns the account as text, one log line per line.
func (a *Account) String() string {
	if len(a.Lines) == 0 {
		return "no line names job " + a.Job + "; give the logs of every host, from before its submission"
	}
	var out strings.Builder
	for _, l := range a.Lines {
		out.WriteString(l.Time + "  " + l.Host + "  " + l.What)
		for _, f := range l.Fields {
			if value, ok := omittedValues[f.Key]; f.Key == "job" && f.Value == a.Job || ok && value == f.Value {
				continue
			}
			out.WriteString("  " + f.Key + "=" + f.Value)
		}
		out.WriteByte('\n')
	}
	return strings.TrimSuffix(out.String(), "\n")
}
