package importer

import (
	"io"
	"regexp"
	"strconv"
	"strings"
	"time"
)

// A line of the general log begins with a time, the thread and the command; others go on with the statement above.
var generalLine = regexp.MustCompile(`^(\d{4}-\d\d-\d\dT[0-9:.]+(?:Z|[+-]\d\d:\d\d)|\d{6}\s+\d{1,2}:\d\d:\d\d|\t)?\t?\s*(\d+) ` +
	`(Query|Execute|Connect|Quit|Prepare|Close stmt|Init DB|Statistics|Ping|Field List|Reset stmt|Shutdown|Kill)\t?(.*)$`)

func (in *reader) generalLog(r io.Reader) error {
	s := newLineScanner(r)
	var last time.Time // of lines that carry none, which old versions leave out where it is the same
	var open *struct {
		line      int
		at        time.Time
		statement strings.Builder
	}
	finish := func() {
		if open != nil {
			in.add(open.line, open.at, "", strings.TrimSpace(open.statement.String()), 0, 0, false)
			open = nil
		}
	}
	for n := 1; s.Scan(); n++ {
		m := generalLine.FindStringSubmatch(s.Text())
		if m == nil {
			if open != nil {
				open.statement.WriteString("\n" + s.Text())
			}
			continue
		}
		finish()
		if at, err := parseTimestamp(m[1]); err != nil {
			in.skip(n, "%v", err)
		} else if !at.IsZero() {
			last = at
		}
		if m[3] == "Query" || m[3] == "Execute" {
			open = &struct {
				line      int
				at        time.Time
				statement strings.Builder
			}{line: n, at: last}
			open.statement.WriteString(m[4])
		}
	}
	finish()
	return s.Err()
}

// slowLog reads entries of some lines with # and the statement behind them. An entry's time is when it ended, so its
// query time is taken off.
func (in *reader) slowLog(r io.Reader) error {
	s := newLineScanner(r)
	var at time.Time
	var took time.Duration
	var examined int64
	var statement strings.Builder
	from, inHead := 0, false
	finish := func() {
		text := strings.TrimSpace(statement.String())
		statement.Reset()
		if text == "" {
			return
		}
		begun := at
		if !begun.IsZero() {
			begun = begun.Add(-took)
		}
		in.add(from, begun, "", text, 0, 0, false)
		last := &in.entries[len(in.entries)-1]
		last.Elapsed, last.RowsExamined = took, examined
		took, examined = 0, 0
	}
	for n := 1; s.Scan(); n++ {
		line := s.Text()
		switch {
		case strings.HasPrefix(line, "# "):
			if !inHead {
				finish()
				inHead = true
			}
			if text, ok := strings.CutPrefix(line, "# Time: "); ok {
				t, err := parseTimestamp(text)
				if err != nil {
					in.skip(n, "%v", err)
				}
				at = t
			}
			if _, rest, ok := strings.Cut(line, "Query_time: "); ok {
				v, err := strconv.ParseFloat(strings.Fields(rest + " x")[0], 64)
				if err != nil || !(v >= 0 && v < 1e9) {
					in.skip(n, "no Query_time that can be read")
				} else {
					took = time.Duration(v * float64(time.Second))
				}
			}
			if _, rest, ok := strings.Cut(line, "Rows_examined: "); ok {
				if v, err := strconv.ParseInt(strings.Fields(rest + " x")[0], 10, 64); err == nil && v >= 0 {
					examined = v
				}
			}
		case inHead && strings.HasPrefix(line, "SET timestamp="):
			v, err := strconv.ParseInt(strings.TrimRight(strings.TrimPrefix(line, "SET timestamp="), ";"), 10, 64)
			if err == nil && at.IsZero() {
				at = time.Unix(v, 0)
			}
		case inHead && strings.HasPrefix(strings.ToLower(line), "use ") && statement.Len() == 0:
		default:
			if inHead {
				from, inHead = n, false
			}
			if from > 0 { // what stands before the first entry is the server's banner
				statement.WriteString(line + "\n")
			}
		}
	}
	finish()
	return s.Err()
}
