package importer

import (
	"io"
	"regexp"
	"strconv"
	"strings"
	"time"
)

// generalLine matches a line of the general log that begins an entry. The line consists of a time, which may be
// absent, the thread, the command and its argument. Other lines continue the argument of the line before.
var generalLine = regexp.MustCompile(`^(\d{4}-\d\d-\d\dT[0-9:.]+(?:Z|[+-]\d\d:\d\d)|\d{6}\s+\d{1,2}:\d\d:\d\d|\t)?\t?\s*(\d+) ` +
	`(Query|Execute|Connect|Quit|Prepare|Close stmt|Init DB|Statistics|Ping|Field List|Reset stmt|Shutdown|Kill)\t?(.*)$`)

// logStatement is a statement of a log. Further lines may belong to it.
type logStatement struct {
	line      int
	timestamp time.Time
	text      strings.Builder
}

// readGeneralLog reads the server's general log. Old versions omit a time that is equal to that of the line before.
func (r *reader) readGeneralLog(in io.Reader) error {
	scanner := newLineScanner(in)
	var lastTimestamp time.Time
	var open *logStatement
	finish := func() {
		if open != nil {
			r.add(Entry{Timestamp: open.timestamp, Line: open.line}, strings.TrimSpace(open.text.String()))
			open = nil
		}
	}
	for line := 1; scanner.Scan(); line++ {
		match := generalLine.FindStringSubmatch(scanner.Text())
		if match == nil {
			if open != nil {
				open.text.WriteString("\n" + scanner.Text())
			}
			continue
		}
		finish()
		timestamp, command, argument := match[1], match[3], match[4]
		parsed, err := parseTimestamp(timestamp)
		if err != nil {
			r.skip(line, "%v", err)
		} else if !parsed.IsZero() {
			lastTimestamp = parsed
		}
		if command == "Query" || command == "Execute" {
			open = &logStatement{line: line, timestamp: lastTimestamp}
			open.text.WriteString(argument)
		}
	}
	finish()
	return scanner.Err()
}

// slowLogReader reads the entries of a slow log. An entry consists of header lines that begin with #, and a
// statement.
type slowLogReader struct {
	*reader
	inHeader     bool
	ended        time.Time // time in the header
	elapsed      time.Duration
	rowsExamined int64
	firstLine    int // line of the statement; 0: no entry has begun
	statement    strings.Builder
}

func (r *reader) readSlowLog(in io.Reader) error {
	scanner := newLineScanner(in)
	s := slowLogReader{reader: r}
	for line := 1; scanner.Scan(); line++ {
		s.readLine(line, scanner.Text())
	}
	s.finish()
	return scanner.Err()
}

func (s *slowLogReader) readLine(line int, text string) {
	switch {
	case strings.HasPrefix(text, "# "):
		if !s.inHeader {
			s.finish()
			s.inHeader = true
		}
		s.readHeader(line, text)
	case s.inHeader && strings.HasPrefix(text, "SET timestamp="):
		s.readSetTimestamp(text)
	case s.inHeader && strings.HasPrefix(strings.ToLower(text), "use ") && s.statement.Len() == 0: // selects the database; not part of the statement
	default:
		if s.inHeader {
			s.firstLine, s.inHeader = line, false
		}
		if s.firstLine > 0 { // text before the first entry is the server's banner
			s.statement.WriteString(text + "\n")
		}
	}
}

// maxQuerySeconds is the limit for the time of a query; a Query_time must be lower.
const maxQuerySeconds = 1e9

func (s *slowLogReader) readHeader(line int, text string) {
	if timestamp, ok := strings.CutPrefix(text, "# Time: "); ok {
		ended, err := parseTimestamp(timestamp)
		if err != nil {
			s.skip(line, "%v", err)
		}
		s.ended = ended
	}
	if field, ok := headerField(text, "Query_time: "); ok {
		seconds, err := strconv.ParseFloat(field, 64)
		if err != nil || !(seconds >= 0 && seconds < maxQuerySeconds) {
			s.skip(line, "no Query_time that can be read")
		} else {
			s.elapsed = time.Duration(seconds * float64(time.Second))
		}
	}
	if field, ok := headerField(text, "Rows_examined: "); ok {
		rows, err := strconv.ParseInt(field, 10, 64)
		if err == nil && rows >= 0 {
			s.rowsExamined = rows
		}
	}
}

// headerField returns the word after the name of a field. ok is false if the text does not contain the name.
func headerField(text, name string) (field string, ok bool) {
	_, rest, ok := strings.Cut(text, name)
	if !ok {
		return "", false
	}
	words := strings.Fields(rest)
	if len(words) == 0 {
		return "", true
	}
	return words[0], true
}

// readSetTimestamp reads the time of an entry whose header has none.
func (s *slowLogReader) readSetTimestamp(text string) {
	seconds, err := strconv.ParseInt(strings.TrimRight(strings.TrimPrefix(text, "SET timestamp="), ";"), 10, 64)
	if err == nil && s.ended.IsZero() {
		s.ended = time.Unix(seconds, 0)
	}
}

// finish adds the entry whose statement is complete. The log has the time at which the query ended, so the elapsed
// time is subtracted.
func (s *slowLogReader) finish() {
	text := strings.TrimSpace(s.statement.String())
	s.statement.Reset()
	if text == "" {
		return
	}
	began := s.ended
	if !began.IsZero() {
		began = began.Add(-s.elapsed)
	}
	s.add(Entry{Timestamp: began, Line: s.firstLine, Elapsed: s.elapsed, RowsExamined: s.rowsExamined}, text)
	s.elapsed, s.rowsExamined = 0, 0
}
