package importer

import (
	"bufio"
	"bytes"
	"encoding/csv"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"math"
	"regexp"
	"strconv"
	"strings"
	"time"

	"magpiebank/internal/protocol/mysql"
	"magpiebank/internal/query/sqltext"
	"magpiebank/internal/traffic/trace"
)

// Format names what a recording is written in.
type Format string

// The forms that can be read.
const (
	JSONLines  Format = "jsonl"
	CSV        Format = "csv"
	GeneralLog Format = "mysql-general"
	SlowLog    Format = "mysql-slow"
)

// Options are what a reader can't see in the file.
type Options struct {
	Class    string            // of entries that name none
	Wait     time.Duration     // of entries that state none
	Columns  map[string]string // of CSV and JSON lines: time, lane, group, wait_ms, retry, statement to the names there
	KeepText bool              // statements are kept, not their shapes only
}

// Read reads a recording. Entries that can't be read are listed by line and passed over.
func Read(r io.Reader, form Format, o Options) (raws []Entry, amiss []string, err error) {
	in := &input{o: o}
	switch form {
	case JSONLines:
		err = in.jsonLines(r)
	case CSV:
		err = in.csv(r)
	case GeneralLog:
		err = in.generalLog(r)
	case SlowLog:
		err = in.slowLog(r)
	default:
		return nil, nil, fmt.Errorf("form %q: expected jsonl, csv, mysql-general or mysql-slow", form)
	}
	return in.raws, in.amiss, err
}

type input struct {
	o     Options
	raws  []Entry
	amiss []string
	more  int
}

// mostAmiss bounds the list of entries that can't be read; those behind are counted.
const mostAmiss = 100

func (in *input) pass(line int, format string, args ...any) {
	if in.more++; len(in.amiss) < mostAmiss {
		in.amiss = append(in.amiss, fmt.Sprintf("line %d: ", line)+fmt.Sprintf(format, args...))
	}
}

// longest line or statement that is read.
const longestLine = 1 << 20

func lines(r io.Reader) *bufio.Scanner {
	s := bufio.NewScanner(r)
	s.Buffer(make([]byte, 1<<16), longestLine)
	return s
}

func (in *input) column(name string) string {
	if c := in.o.Columns[name]; c != "" {
		return c
	}
	return name
}

// add takes an entry in.
func (in *input) add(line int, stamp time.Time, lane, statement string, group int, waitMS int64, retry bool) {
	r := trace.Record{Class: lane, Group: group, WaitMS: waitMS, Retry: retry}
	if statement != "" {
		text := []byte(statement)
		if request, err := mysql.ReadRequest(text); err == nil { // fields of our own protocol
			if r.Class == "" {
				r.Class = string(request.Class)
			}
			if r.WaitMS == 0 {
				r.WaitMS = request.WaitMS
			}
			text = request.Statement
		}
		r.Shape = sqltext.Shape(text)
		if r.Group == 0 {
			r.Group = mysql.TableGroup(text)
		}
		if in.o.KeepText {
			r.Text = string(text)
		}
	}
	if r.Class == "" {
		r.Class = in.o.Class
	}
	if r.WaitMS == 0 {
		r.WaitMS = in.o.Wait.Milliseconds()
	}
	in.raws = append(in.raws, Entry{Timestamp: stamp, Line: line, Record: r})
}

// stamp reads a time: RFC 3339, MySQL's own form, or a number of seconds, milliseconds, micro- or nanoseconds since
// 1970, told apart by its size.
func stamp(text string) (time.Time, error) {
	text = strings.TrimSpace(text)
	if text == "" {
		return time.Time{}, nil
	}
	if v, err := strconv.ParseFloat(text, 64); err == nil {
		if v < 0 || math.IsNaN(v) || v > 1e20 {
			return time.Time{}, fmt.Errorf("time %q can't be", text)
		}
		whole, err := strconv.ParseInt(text, 10, 64)
		switch {
		case err == nil && v >= 1e17:
			return time.Unix(0, whole), nil
		case err == nil && v >= 1e14:
			return time.UnixMicro(whole), nil
		case err == nil && v >= 1e11:
			return time.UnixMilli(whole), nil
		}
		for v >= 1e11 {
			v /= 1000
		}
		seconds, rest := math.Modf(v)
		return time.Unix(int64(seconds), int64(rest*1e9)), nil
	}
	for _, form := range []string{time.RFC3339Nano, "2006-01-02T15:04:05.999999", "2006-01-02 15:04:05.999999",
		"060102 15:04:05"} {
		if t, err := time.Parse(form, text); err == nil {
			return t, nil
		}
	}
	return time.Time{}, fmt.Errorf("time %q: expected RFC 3339 or a number since 1970", text)
}

func (in *input) jsonLines(r io.Reader) error {
	s := lines(r)
	for n := 1; s.Scan(); n++ {
		text := bytes.TrimSpace(s.Bytes())
		if len(text) == 0 {
			continue
		}
		var entry map[string]any
		d := json.NewDecoder(bytes.NewReader(text))
		d.UseNumber()
		if err := d.Decode(&entry); err != nil {
			in.pass(n, "no JSON object: %v", err)
			continue
		}
		in.fields(n, func(name string) string {
			switch v := entry[in.column(name)].(type) {
			case nil:
				return ""
			case string:
				return v
			default:
				return fmt.Sprint(v)
			}
		})
	}
	return s.Err()
}

// fields takes in an entry whose parts have names.
func (in *input) fields(line int, get func(string) string) {
	at, err := stamp(get("time"))
	if err != nil {
		in.pass(line, "%v; it counts as one without a stamp", err)
	}
	number := func(name string) int64 {
		text := get(name)
		if text == "" {
			return 0
		}
		v, err := strconv.ParseFloat(text, 64)
		if err != nil || !(v >= 0 && v < 1e12) {
			in.pass(line, "%s %q: expected a number from 0; left out", name, text)
			return 0
		}
		return int64(v)
	}
	retry := get("retry")
	in.add(line, at, get("lane"), get("statement"), int(number("group")), number("wait_ms"),
		retry == "1" || strings.EqualFold(retry, "true"))
}

func (in *input) csv(r io.Reader) error {
	c := csv.NewReader(r)
	c.FieldsPerRecord = -1
	c.LazyQuotes = true
	head, err := c.Read()
	if err != nil {
		return fmt.Errorf("line 1: expected the names of columns: %w", err)
	}
	at := map[string]int{}
	for i, name := range head {
		at[strings.TrimSpace(name)] = i
	}
	if _, ok := at[in.column("time")]; !ok {
		return fmt.Errorf("line 1: no column %q for the time; columns are %q", in.column("time"), head)
	}
	for {
		row, err := c.Read()
		line, _ := c.FieldPos(0)
		var bad *csv.ParseError
		switch {
		case err == io.EOF:
			return nil
		case errors.As(err, &bad):
			in.pass(bad.Line, "%v", bad.Err)
			continue
		case err != nil:
			return err
		}
		in.fields(line, func(name string) string {
			if i, ok := at[in.column(name)]; ok && i < len(row) {
				return row[i]
			}
			return ""
		})
	}
}

// A line of the general log begins with a time, the thread and the command; others go on with the statement above.
var generalLine = regexp.MustCompile(`^(\d{4}-\d\d-\d\dT[0-9:.]+(?:Z|[+-]\d\d:\d\d)|\d{6}\s+\d{1,2}:\d\d:\d\d|\t)?\t?\s*(\d+) ` +
	`(Query|Execute|Connect|Quit|Prepare|Close stmt|Init DB|Statistics|Ping|Field List|Reset stmt|Shutdown|Kill)\t?(.*)$`)

func (in *input) generalLog(r io.Reader) error {
	s := lines(r)
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
		if at, err := stamp(m[1]); err != nil {
			in.pass(n, "%v", err)
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
func (in *input) slowLog(r io.Reader) error {
	s := lines(r)
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
		last := &in.raws[len(in.raws)-1]
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
				t, err := stamp(text)
				if err != nil {
					in.pass(n, "%v", err)
				}
				at = t
			}
			if _, rest, ok := strings.Cut(line, "Query_time: "); ok {
				v, err := strconv.ParseFloat(strings.Fields(rest + " x")[0], 64)
				if err != nil || !(v >= 0 && v < 1e9) {
					in.pass(n, "no Query_time that can be read")
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
