package importer

import (
	"bufio"
	"bytes"
	"encoding/csv"
	"encoding/json"
	"errors"
	"fmt"
	"io"
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
	in := &reader{options: o}
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
	return in.entries, in.malformed, err
}

type reader struct {
	options        Options
	entries        []Entry
	malformed      []string
	malformedCount int
}

// maxMalformed bounds the list of entries that can't be read; those behind are counted.
const maxMalformed = 100

func (in *reader) skip(line int, format string, args ...any) {
	if in.malformedCount++; len(in.malformed) < maxMalformed {
		in.malformed = append(in.malformed, fmt.Sprintf("line %d: ", line)+fmt.Sprintf(format, args...))
	}
}

// longest line or statement that is read.
const maxLineBytes = 1 << 20

func newLineScanner(r io.Reader) *bufio.Scanner {
	s := bufio.NewScanner(r)
	s.Buffer(make([]byte, 1<<16), maxLineBytes)
	return s
}

func (in *reader) columnName(name string) string {
	if c := in.options.Columns[name]; c != "" {
		return c
	}
	return name
}

// add takes an entry in.
func (in *reader) add(line int, stamp time.Time, lane, statement string, group int, waitMS int64, retry bool) {
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
		if in.options.KeepText {
			r.Text = string(text)
		}
	}
	if r.Class == "" {
		r.Class = in.options.Class
	}
	if r.WaitMS == 0 {
		r.WaitMS = in.options.Wait.Milliseconds()
	}
	in.entries = append(in.entries, Entry{Timestamp: stamp, Line: line, Record: r})
}

func (in *reader) jsonLines(r io.Reader) error {
	s := newLineScanner(r)
	for n := 1; s.Scan(); n++ {
		text := bytes.TrimSpace(s.Bytes())
		if len(text) == 0 {
			continue
		}
		var entry map[string]any
		d := json.NewDecoder(bytes.NewReader(text))
		d.UseNumber()
		if err := d.Decode(&entry); err != nil {
			in.skip(n, "no JSON object: %v", err)
			continue
		}
		in.addFields(n, func(name string) string {
			switch v := entry[in.columnName(name)].(type) {
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

// addFields takes in an entry whose parts have names.
func (in *reader) addFields(line int, get func(string) string) {
	at, err := parseTimestamp(get("time"))
	if err != nil {
		in.skip(line, "%v; it counts as one without a stamp", err)
	}
	number := func(name string) int64 {
		text := get(name)
		if text == "" {
			return 0
		}
		v, err := strconv.ParseFloat(text, 64)
		if err != nil || !(v >= 0 && v < 1e12) {
			in.skip(line, "%s %q: expected a number from 0; left out", name, text)
			return 0
		}
		return int64(v)
	}
	retry := get("retry")
	in.add(line, at, get("lane"), get("statement"), int(number("group")), number("wait_ms"),
		retry == "1" || strings.EqualFold(retry, "true"))
}

func (in *reader) csv(r io.Reader) error {
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
	if _, ok := at[in.columnName("time")]; !ok {
		return fmt.Errorf("line 1: no column %q for the time; columns are %q", in.columnName("time"), head)
	}
	for {
		row, err := c.Read()
		line, _ := c.FieldPos(0)
		var bad *csv.ParseError
		switch {
		case err == io.EOF:
			return nil
		case errors.As(err, &bad):
			in.skip(bad.Line, "%v", bad.Err)
			continue
		case err != nil:
			return err
		}
		in.addFields(line, func(name string) string {
			if i, ok := at[in.columnName(name)]; ok && i < len(row) {
				return row[i]
			}
			return ""
		})
	}
}
