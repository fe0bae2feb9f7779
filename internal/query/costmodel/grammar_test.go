package costmodel

import (
	"errors"
	"io"
	"strings"
	"sync"
	"testing"

	"github.com/alecthomas/participle/v2"
	"github.com/alecthomas/participle/v2/lexer"

	"magpiebank/internal/query/sqltext"
	"magpiebank/internal/testbed/fake"
)

// The token types of the grammar.
const (
	typeName lexer.TokenType = iota - 100
	typeKey
	typeText
	typeNumber
	typeHint
	typeSign
)

// lexerDefinition makes the tokens of sqltext.Lexer available to participle.
type lexerDefinition struct{}

func (lexerDefinition) Symbols() map[string]lexer.TokenType {
	return map[string]lexer.TokenType{"EOF": lexer.EOF, "Name": typeName, "Key": typeKey, "Text": typeText, "Number": typeNumber,
		"Hint": typeHint, "Sign": typeSign}
}

func (lexerDefinition) Lex(string, io.Reader) (lexer.Lexer, error) {
	return nil, errors.New("statements are read from bytes")
}

type tokenStream struct {
	l        sqltext.Lexer
	afterDot bool // the previous token was a dot, so a word is a name
}

// Next returns the next token. Like MySQL, it treats any word after a dot as a name, and keywords that name a
// function as names.
func (t *tokenStream) Next() (lexer.Token, error) {
	tok := t.l.Next()
	out := lexer.Token{Pos: lexer.Position{Offset: tok.From}}
	afterDot := t.afterDot
	t.afterDot = tok.Sign == '.'
	text := t.l.Bytes(tok)
	switch tok.Kind {
	case sqltext.End:
		out.Type = lexer.EOF
		return out, nil
	case sqltext.Word:
		out.Type, out.Value = typeName, string(text)
		isCall := t.l.Peek().Sign == '('
		if upper := strings.ToUpper(out.Value); !afterDot && keywords[upper] != "" && (!functionKeywords[upper] || !isCall) {
			out.Type, out.Value = typeKey, upper
		}
	case sqltext.Quoted:
		out.Type, out.Value = typeName, string(text)
	case sqltext.Text:
		if tok.Unterminated {
			return out, errUnterminated
		}
		out.Type, out.Value = typeText, "'"+string(text)
	case sqltext.Number:
		out.Type, out.Value = typeNumber, string(text)
	case sqltext.Hint:
		out.Type, out.Value = typeHint, string(text)
	default:
		out.Type, out.Value = typeSign, string(rune(tok.Sign))
	}
	return out, nil
}

// grammarParser is the parser that participle builds from the tags of the syntax tree.
var grammarParser = sync.OnceValues(func() (*participle.Parser[statement], error) {
	return participle.Build[statement](participle.Lexer(lexerDefinition{}), participle.UseLookahead(3))
})

// readByGrammar reads the features of a statement with the parser that participle builds.
func readByGrammar(sql []byte) (*Features, error) {
	p, err := grammarParser()
	if err != nil {
		return nil, err
	}
	peeker, err := lexer.Upgrade(&tokenStream{l: sqltext.Lexer{Text: sql}})
	if err != nil {
		return nil, err
	}
	t, err := p.ParseFromLexer(peeker)
	if err != nil {
		return nil, err
	}
	f := &Features{Limit: noLimit, Parsed: true}
	f.readStatement(t)
	f.markScans(nil)
	return f, nil
}

// checkAgainstGrammar compares the features that the parser written by hand reads with those that participle reads.
// It returns whether participle accepts the statement.
func checkAgainstGrammar(t *testing.T, sql string) (accepted bool) {
	t.Helper()
	want, err := readByGrammar([]byte(sql))
	got := ReadFeatures([]byte(sql))
	if err != nil {
		return false // the parser by hand may accept more statements, because it looks further ahead
	}
	if !got.Parsed {
		t.Errorf("%s\nparser by hand: rejected: %s\nparticiple:     %s", sql, got.ParseError, show(want))
	} else if show(got) != show(want) {
		t.Errorf("%s\nparser by hand: %s\nparticiple:     %s", sql, show(got), show(want))
	}
	return true
}

// For any statement that participle accepts, the parser written by hand reads the same features. The statements are
// like those of people and of planners, and are also tested with each token removed, doubled or replaced by another
// token of the statement.
func TestParserAgreesWithGrammar(t *testing.T) {
	list := []string{
		"SELECT DISTINCT a, b AS x, c 'y' FROM a_1.m m USE INDEX (i, j) WHERE a = 1 AND (b = 2 OR c = 3) AND d IS NOT NULL",
		"SELECT count(DISTINCT a), group_concat(b ORDER BY c DESC SEPARATOR ';'), cast(d AS decimal(10, 2)), trim(a FROM b) FROM a_1.m",
		"SELECT a FROM (SELECT b FROM a_1.m WHERE c = 1) x JOIN (a_1.n, a_1.o) ON x.a = n.a LEFT OUTER JOIN a_1.p USING (k) WHERE x.a > 5",
		"(SELECT a FROM a_1.m) UNION ALL (SELECT b FROM a_1.n WHERE b = 1) ORDER BY 1 LIMIT 3",
		"SELECT * FROM ((SELECT a FROM a_1.m) UNION (SELECT b FROM a_1.n)) x WHERE x.a IN (SELECT k FROM a_1.o)",
		"SELECT sum(a) OVER w, rank() OVER (ORDER BY b) FROM a_1.m WINDOW w AS (PARTITION BY c ORDER BY d ROWS BETWEEN UNBOUNDED PRECEDING AND 5 FOLLOWING)",
		"SELECT a FROM a_1.m GROUP BY a, b WITH ROLLUP HAVING count(*) > 10 ORDER BY a DESC, b ASC LIMIT 10, 20",
		"SELECT a FROM a_1.m LIMIT 10 OFFSET 20",
		"SELECT -a, NOT b, !c, a BETWEEN 1 AND 5 AND b LIKE 'x%' ESCAPE '|', EXISTS (SELECT 1) FROM a_1.m",
		"SELECT CASE a WHEN 1 THEN 2 WHEN 3 THEN 4 END, CASE WHEN a = 1 THEN b ELSE c END, d + INTERVAL 5 DAY FROM a_1.m",
		"WITH RECURSIVE t (a, b) AS (SELECT 1, 2 UNION ALL SELECT a + 1, b FROM t), u AS (SELECT 1) SELECT * FROM t, u WHERE t.a = u.a",
		"REPLACE INTO a_1.m SET a = 1, b = now()", "INSERT IGNORE INTO a_1.m (a) (SELECT b FROM a_1.n) ON DUPLICATE KEY UPDATE a = VALUES(a) + 1",
		"LOAD DATA INFILE 'x' REPLACE INTO TABLE a_1.m FIELDS TERMINATED BY ',' IGNORE 1 ROWS (a, b) SET c = 1",
		"UPDATE a_1.m, a_1.n SET m.a = n.a, m.b = 5 WHERE m.k = n.k AND n.x = 7 ORDER BY m.a LIMIT 5",
		"DELETE m.* FROM a_1.m AS m JOIN a_1.n AS n ON m.k = n.k WHERE n.x = 'y'", "SELECT /*+ X(1) */ a FROM a_1.m FOR UPDATE SKIP LOCKED;",
		"SELECT left(a, 2), mod(a, 5), replace(a, 'b', 'c'), a MOD 2, `select` FROM a_1.`from` WHERE a_1.`from`.b = 1",
	}
	p := fake.NewPlanner(5, 60)
	for i := range p.Templates {
		list = append(list, strings.NewReplacer("{group}", "1", "{literal}", "v").Replace(p.Templates[i].Text))
	}
	accepted, changed := 0, 0
	for n, sql := range list {
		if !checkAgainstGrammar(t, sql) {
			t.Errorf("participle rejects: %s", sql)
			continue
		}
		accepted++
		var parts []string
		l := sqltext.Lexer{Text: []byte(sql)}
		for token := l.Next(); token.Kind != sqltext.End; token = l.Next() {
			text := string(l.Bytes(token))
			switch token.Kind {
			case sqltext.Text:
				text = "'" + text + "'"
			case sqltext.Quoted:
				text = "`" + text + "`"
			case sqltext.Hint:
				text = "/*+" + text + "*/"
			}
			parts = append(parts, text)
		}
		if n >= 20+10 { // most of the planner's statements are not changed, because they are similar
			continue
		}
		for i := range parts {
			for _, replacement := range []string{"", parts[i] + " " + parts[i], parts[(i*7+3)%len(parts)]} {
				if checkAgainstGrammar(t, strings.Join(parts[:i], " ")+" "+replacement+" "+strings.Join(parts[i+1:], " ")) {
					changed++
				}
			}
		}
	}
	t.Logf("%d statements, and %d changed ones that participle accepts", accepted, changed)
}

// FuzzRead checks that the features of any text stay within their limits, and that both parsers agree on short texts.
func FuzzRead(f *testing.F) {
	f.Add("SELECT a FROM t_1.m WHERE x IN (1,2) AND y = 'z' OR (a + 1) > 5 ORDER BY b LIMIT 5")
	f.Add("INSERT INTO t SELECT * FROM ((a JOIN b ON a.x = b.x)) WHERE CASE WHEN a THEN b END")
	f.Fuzz(func(t *testing.T, sql string) {
		x := ReadFeatures([]byte(sql))
		if len(x.Tables) > maxTables || len(x.Predicates) > maxPredicates {
			t.Fatalf("%d tables, %d predicates", len(x.Tables), len(x.Predicates))
		}
		if len(sql) < 300 {
			checkAgainstGrammar(t, sql)
		}
	})
}
