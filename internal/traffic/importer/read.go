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
	"strconv"
	"strings"
	"time"

	"magpiebank/internal/protocol/mysql"
	"magpiebank/internal/query/sqltext"
	"magpiebank/internal/traffic/trace"
)

// Format is the format of a recording.
type Format string

// The formats that can be read.
const (
	JSONLines  Format = "jsonl"
	CSV        Format = "csv"
	GeneralLog Format = "mysql-general"
	SlowLog    Format = "mysql-slow"
)

// Options are defaults for data that a recording does not contain, and settings of the import.
type Options struct {
	Class    string            // class of entries that have none
	Wait     time.Duration     // wait of entries that have none
	Columns  map[string]string // names in CSV and JSON lines of the columns time, lane, group, wait_ms, retry and statement
	KeepText bool              // store statements in addition to their shapes
}

// Read reads a recording. It skips malformed entries and lists them with their lines. It returns an error if the
// recording can't be read at all.
func Read(in io.Reader, format Format, options Options) (entries []Entry, malformed []string, err error) {
	r := &reader{options: options}
	switch format {
	case JSONLines:
		err = r.readJSONLines(in)
	case CSV:
		err = r.readCSV(in)
	case GeneralLog:
		err = r.readGeneralLog(in)
	case SlowLog:
		err = r.readSlowLog(in)
	default:
		return nil, nil, fmt.Errorf("form %q: expected jsonl, csv, mysql-general or mysql-slow", format)
	}
	return r.entries, r.malformed, err
}

// reader collects the entries of a recording.
type reader struct {
	options   Options
	entries   []Entry
	malformed []string
}

// maxMalformed limits the list of malformed entries.
const maxMalformed = 100

// skip adds an entry, or a field of one, to the list of malformed ones.
func (r *reader) skip(line int, format string, args ...any) {
	if len(r.malformed) < maxMalformed {
		r.malformed = append(r.malformed, fmt.Sprintf("line %d: ", line)+fmt.Sprintf(format, args...))
	}
}

// maxLineBytes is the length of the longest line that can be read.
const maxLineBytes = 1 << 20

const lineBufferBytes = 1 << 16

func newLineScanner(in io.Reader) *bufio.Scanner {
	s := bufio.NewScanner(in)
	s.Buffer(make([]byte, lineBufferBytes), maxLineBytes)
	return s
}

// columnName returns the name that a column has in the recording.
func (r *reader) columnName(name string) string {
	if renamed := r.options.Columns[name]; renamed != "" {
		return renamed
	}
	return name
}

// add adds an entry. It completes the entry's record from the statement, which may begin with the fields of the
// gateway's clients, and from the options.
func (r *reader) add(entry Entry, statement string) {
	record := &entry.Record
	if statement != "" {
		r.completeFromStatement(record, []byte(statement))
	}
	if record.Class == "" {
		record.Class = r.options.Class
	}
	if record.WaitMS == 0 {
		record.WaitMS = r.options.Wait.Milliseconds()
	}
	r.entries = append(r.entries, entry)
}

func (r *reader) completeFromStatement(record *trace.Record, text []byte) {
	request, err := mysql.ReadRequest(text)
	if err == nil {
		if record.Class == "" {
			record.Class = string(request.Class)
		}
		if record.WaitMS == 0 {
			record.WaitMS = request.WaitMS
		}
		text = request.Statement
	}
	record.Shape = sqltext.Shape(text)
	if record.Group == 0 {
		record.Group = mysql.TableGroup(text)
	}
	if r.options.KeepText {
		record.Text = string(text)
	}
}

func (r *reader) readJSONLines(in io.Reader) error {
	scanner := newLineScanner(in)
	for line := 1; scanner.Scan(); line++ {
		text := bytes.TrimSpace(scanner.Bytes())
		if len(text) == 0 {
			continue
		}
		var fields map[string]any
		decoder := json.NewDecoder(bytes.NewReader(text))
		decoder.UseNumber()
		if err := decoder.Decode(&fields); err != nil {
			r.skip(line, "no JSON object: %v", err)
			continue
		}
		r.addFields(line, func(name string) string {
			switch value := fields[r.columnName(name)].(type) {
			case nil:
				return ""
			case string:
				return value
			default:
				return fmt.Sprint(value)
			}
		})
	}
	return scanner.Err()
}

// addFields adds an entry whose fields have names. field returns the text of a field, or "" if the entry does not
// have it.
func (r *reader) addFields(line int, field func(name string) string) {
	timestamp, err := parseTimestamp(field("time"))
	if err != nil {
		r.skip(line, "%v; it counts as one without a stamp", err)
	}
	retry := field("retry")
	r.add(Entry{Timestamp: timestamp, Line: line, Record: trace.Record{
		Class:  field("lane"),
		Group:  int(r.parseNumber(line, "group", field("group"))),
		WaitMS: r.parseNumber(line, "wait_ms", field("wait_ms")),
		Retry:  retry == "1" || strings.EqualFold(retry, "true"),
	}}, field("statement"))
}

// maxNumber is the limit for numbers in fields; a number must be lower.
const maxNumber = 1e12

// parseNumber parses the text of a numeric field. It returns 0 if the field is absent or malformed.
func (r *reader) parseNumber(line int, name, text string) int64 {
	if text == "" {
		return 0
	}
	number, err := strconv.ParseFloat(text, 64)
	if err != nil || math.IsNaN(number) || number < 0 || number >= maxNumber {
		r.skip(line, "%s %q: expected a number from 0; left out", name, text)
		return 0
	}
	return int64(number)
}

func (r *reader) readCSV(in io.Reader) error {
	rows := csv.NewReader(in)
	rows.FieldsPerRecord = -1 // rows may differ in length
	rows.LazyQuotes = true
	header, err := rows.Read()
	if err != nil {
		return fmt.Errorf("line 1: expected the names of columns: %w", err)
	}
	columns := map[string]int{}
	for i, name := range header {
		columns[strings.TrimSpace(name)] = i
	}
	if _, ok := columns[r.columnName("time")]; !ok {
		return fmt.Errorf("line 1: no column %q for the time; columns are %q", r.columnName("time"), header)
	}
	for {
		row, err := rows.Read()
		line, _ := rows.FieldPos(0)
		var malformed *csv.ParseError
		switch {
		case errors.Is(err, io.EOF):
			return nil
		case errors.As(err, &malformed):
			r.skip(malformed.Line, "%v", malformed.Err)
			continue
		case err != nil:
			return err
		}
		r.addFields(line, func(name string) string {
			if i, ok := columns[r.columnName(name)]; ok && i < len(row) {
				return row[i]
			}
			return ""
		})
	}
}
