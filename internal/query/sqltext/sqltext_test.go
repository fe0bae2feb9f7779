package sqltext

import (
	"bytes"
	"fmt"
	"strings"
	"testing"
	"time"
)

// The example prints the normal form of one statement in each line.
func ExampleAppendNormalized() {
	for _, sql := range []string{
		"SELECT a, 1.5e-3 FROM actas_17.mesas /* c */ WHERE b = 'it''s' AND c IN (1, 2, -3) -- end",
		"select A,.5 from ACTAS_3 . mesas where b=\"x\" and c in(9);",
		"INSERT INTO `actas_5`.m VALUES (1, 'a', now()), (2, 'b', f(3, (4))), (5)",
		"SELECT /*+ MAX_EXECUTION_TIME(5) */ a - 5, a-5, (-5) FROM t WHERE x BETWEEN -1 AND +2 LIMIT 10, 20",
		"SELECT /*!50001 STRAIGHT_JOIN */ 0x1F, 1abc, t.5x FROM t",
		"SELECT ? + 1; SELECT 2",
		"SELECT 'open",
		"SELECT `open",
		"SELECT a /* open",
		"",
	} {
		fmt.Printf("%s\n", bytes.TrimSpace(AppendNormalized(nil, []byte(sql))))
	}
	// Output:
	// select a , ? from actas_? . mesas where b = ? and c in ( ? + )
	// select a , ? from actas_? . mesas where b = ? and c in ( ? )
	// insert into `actas_? . m values ( ? + , now ( ) ) +
	// select /*+  MAX_EXECUTION_TIME(5)  a - ? , a - ? , ( ? ) from t where x between - ? and + ? limit ? +
	// select straight_join ? , 1abc , t . 5x from t
	// select ? + ? ; select ?
	// select '...
	// select `open
	// select a
}

// The shapes of lists and rows do not depend on their length, and any statement's shape takes a bounded time.
func TestShapeTakesBoundedTime(t *testing.T) {
	list := "SELECT a FROM t WHERE b IN (" + strings.Repeat("17, ", 10000) + "1)"
	rows := "INSERT INTO t VALUES " + strings.Repeat("(1, 'x', (2)), ", 10000) + "(1)"
	if Shape([]byte(list)) != Shape([]byte("select a from t where b in (1,2)")) || Shape([]byte(list)) == Shape([]byte("select a from t where b in (1)")) {
		t.Error("a list of ten thousand literals does not have the shape of a list of two")
	}
	if Shape([]byte(rows)) != Shape([]byte("insert into t values (1,2,(3)),(4)")) {
		t.Error("ten thousand rows do not have the shape of two rows")
	}
	for _, c := range []struct{ name, text string }{{"brackets", strings.Repeat("(", MaxStatementBytes)}, {"quotes", strings.Repeat("'\\", MaxStatementBytes/2)},
		{"back quotes", strings.Repeat("`", MaxStatementBytes)}, {"comments", strings.Repeat("/*", MaxStatementBytes/2)}, {"hints", strings.Repeat("/*+*/", MaxStatementBytes/5)},
		{"commas", strings.Repeat("1,(", MaxStatementBytes/3)}, {"signs", strings.Repeat("-", MaxStatementBytes)}, {"list", list}, {"rows", rows},
		{"values", strings.Repeat("values(),(", MaxStatementBytes/10)}, {"too long", strings.Repeat("a", MaxStatementBytes+1)}} {
		began := time.Now()
		Shape([]byte(c.text))
		if took := time.Since(began); took > 30*time.Second { // linear time is some milliseconds, quadratic time is hours
			t.Errorf("%s took %v", c.name, took)
		}
	}
}

// FuzzShape checks that literals, spacing and comments do not change the normal form of any text.
func FuzzShape(f *testing.F) {
	f.Add([]byte("SELECT a FROM t_1.m WHERE x IN (1,2) AND y = 'z'"), []byte("7"))
	f.Add([]byte("INSERT INTO t VALUES (1),(2)"), []byte("'it'"))
	f.Fuzz(func(t *testing.T, sql, _ []byte) {
		l := Lexer{Text: sql}
		var out, other []byte
		for tok := l.Next(); tok.Kind != End; tok = l.Next() {
			if tok.From > tok.To || tok.To > len(sql) {
				t.Fatalf("%+v", tok)
			}
			text := sql[tok.From:tok.To]
			switch {
			case tok.Unterminated, tok.Kind == Hint, tok.Kind == Sign && (tok.Sign == '\\'):
				return // text appended after an unterminated token would become part of it
			case tok.Kind == Quoted:
				out = append(append(append(out, '`'), text...), "` "...)
				other = append(append(append(other, '`'), text...), "`\n"...)
			case tok.Kind == Text && string(text) != "?", tok.Kind == Number:
				out = append(out, "1 "...)
				other = append(other, " 'x' "...)
			default:
				out = append(append(out, text...), ' ')
				other = append(append(other, text...), " /* c */ "...)
			}
		}
		if a, b := AppendNormalized(nil, out), AppendNormalized(nil, other); !bytes.Equal(a, b) { // the two differ in literals and spacing
			t.Fatalf("%q: %q\n%q: %q", out, a, other, b)
		}
	})
}

const shortStatement = `SELECT dia, count(*), max(nota) FROM actas_17.mesas WHERE clave = '3f9c2a' AND distrito IN (4, 8, 15, 16) AND nota > 3.5 ` +
	`GROUP BY dia HAVING count(*) > 10 ORDER BY dia DESC LIMIT 20 /* some more words that nobody reads, so that it is as long as three hundred bytes are, as many are */`

func BenchmarkShape(b *testing.B) {
	sql := []byte(shortStatement)
	b.ReportAllocs()
	b.SetBytes(int64(len(sql)))
	for b.Loop() {
		Shape(sql)
	}
}
