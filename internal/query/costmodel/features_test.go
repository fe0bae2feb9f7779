package costmodel

import (
	"fmt"
	"strings"
	"testing"
)

// show returns features as one line of text.
func show(f *Features) string {
	var b strings.Builder
	fmt.Fprintf(&b, "%s parsed %v", f.Verb, f.Parsed)
	for _, t := range f.Tables {
		fmt.Fprintf(&b, " [%s.%s", t.Schema, t.Name)
		if t.Alias != "" {
			b.WriteString(" as " + t.Alias)
		}
		if t.Written {
			b.WriteString(" written")
		}
		if t.Scanned {
			b.WriteString(" scanned")
		}
		b.WriteString("]")
	}
	for _, p := range f.Predicates {
		fmt.Fprintf(&b, " %s:%s", p.Column, p.Match)
	}
	fmt.Fprintf(&b, " joins %d loose %d sub %d unions %d agg %d groups %d sorts %d windows %d limit %d", f.Joins, f.UnboundJoins, f.Subqueries,
		f.Unions, f.Aggregates, f.Groups, f.Sorts, f.Windows, f.Limit)
	if t := f.FullScan(); t != nil {
		b.WriteString(" FULL " + t.Name)
	}
	return b.String()
}

// The example prints the features of one statement in each line.
func ExampleReadFeatures() {
	for _, sql := range []string{
		"SELECT dia, count(*), max(nota) FROM actas_17.mesas WHERE clave = '3f9c' GROUP BY dia",
		"SELECT dia, count(*) FROM actas_17.mesas GROUP BY dia",
		"SELECT * FROM actas_17.mesas LIMIT 10",
		"SELECT * FROM actas_17.mesas WHERE nota LIKE '%x' AND upper(dia) = 'A' AND a + 1 = 2",
		"SELECT m.a FROM a_1.m m JOIN a_1.n AS n ON m.id = n.id LEFT JOIN a_1.o ON o.x = n.x WHERE m.b IN (1, 2) AND n.c BETWEEN 1 AND 2",
		"SELECT * FROM a_1.m, a_1.n WHERE m.x > 5",
		"WITH t AS (SELECT a FROM a_1.m WHERE b = 1) SELECT a, row_number() OVER (PARTITION BY a ORDER BY b ROWS BETWEEN 1 AND 2) FROM t UNION ALL SELECT 1, 2 ORDER BY 1 LIMIT 5, 10",
		"SELECT a FROM a_1.m WHERE b = (SELECT max(b) FROM a_1.n WHERE c = 5) OR d = 1",
		"SELECT CASE WHEN a > 1 THEN 'x' ELSE date_add(b, INTERVAL 1 DAY) END z FROM a_1.m WHERE (b = 1 AND c < 2) AND NOT d = 3",
		"INSERT INTO actas_17.mesas SELECT * FROM staging.lote_5",
		"INSERT INTO actas_17.mesas (a, b) VALUES (1, 'x'), (2, now()) ON DUPLICATE KEY UPDATE b = VALUES(b)",
		"LOAD DATA LOCAL INFILE '/x' INTO TABLE actas_17.mesas FIELDS TERMINATED BY ','",
		"UPDATE actas_17.mesas SET a = a + 1 WHERE id = 5 LIMIT 1",
		"DELETE FROM actas_17.mesas",
		"SELECT left(a, 2), `from` FROM a_1.`select` WHERE a REGEXP 'x' FOR UPDATE",
		"SELEC a FORM b",
		"SELECT a FROM b WHERE ((((((((((((((((((((((((((c = 1))))))))))))))))))))))))))",
		"SELECT a FROM b WHERE c = 'open",
		"",
	} {
		fmt.Println(show(ReadFeatures([]byte(sql))))
	}
	// Output:
	// select parsed true [actas_17.mesas] clave:equal joins 0 loose 0 sub 0 unions 0 agg 2 groups 1 sorts 0 windows 0 limit -1
	// select parsed true [actas_17.mesas scanned] joins 0 loose 0 sub 0 unions 0 agg 1 groups 1 sorts 0 windows 0 limit -1 FULL mesas
	// select parsed true [actas_17.mesas scanned] joins 0 loose 0 sub 0 unions 0 agg 0 groups 0 sorts 0 windows 0 limit 10
	// select parsed true [actas_17.mesas scanned] nota:wildcard dia:function a:function joins 0 loose 0 sub 0 unions 0 agg 0 groups 0 sorts 0 windows 0 limit -1 FULL mesas
	// select parsed true [a_1.m as m] [a_1.n as n] [a_1.o] id:joined id:joined x:joined x:joined b:equal c:range joins 2 loose 0 sub 0 unions 0 agg 0 groups 0 sorts 0 windows 0 limit -1
	// select parsed true [a_1.m] [a_1.n scanned] x:range joins 0 loose 1 sub 0 unions 0 agg 0 groups 0 sorts 0 windows 0 limit -1 FULL n
	// select parsed true [a_1.m] [.t scanned] b:equal joins 0 loose 0 sub 1 unions 1 agg 0 groups 0 sorts 1 windows 1 limit -1 FULL t
	// select parsed true [a_1.m scanned] [a_1.n] c:equal joins 0 loose 0 sub 1 unions 0 agg 1 groups 0 sorts 0 windows 0 limit -1 FULL m
	// select parsed true [a_1.m] b:equal c:range joins 0 loose 0 sub 0 unions 0 agg 0 groups 0 sorts 0 windows 0 limit -1
	// insert-select parsed true [actas_17.mesas written] [staging.lote_5 scanned] joins 0 loose 0 sub 0 unions 0 agg 0 groups 0 sorts 0 windows 0 limit -1 FULL lote_5
	// insert parsed true [actas_17.mesas written] joins 0 loose 0 sub 0 unions 0 agg 0 groups 0 sorts 0 windows 0 limit -1
	// load parsed true [actas_17.mesas written] joins 0 loose 0 sub 0 unions 0 agg 0 groups 0 sorts 0 windows 0 limit -1
	// update parsed true [actas_17.mesas] id:equal joins 0 loose 0 sub 0 unions 0 agg 0 groups 0 sorts 0 windows 0 limit 1
	// delete parsed true [actas_17.mesas scanned] joins 0 loose 0 sub 0 unions 0 agg 0 groups 0 sorts 0 windows 0 limit -1 FULL mesas
	// select parsed true [a_1.select scanned] a:wildcard joins 0 loose 0 sub 0 unions 0 agg 0 groups 0 sorts 0 windows 0 limit -1 FULL select
	// other parsed false joins 0 loose 0 sub 0 unions 0 agg 0 groups 0 sorts 0 windows 0 limit -1
	// select parsed false [.b] c:equal joins 0 loose 0 sub 0 unions 0 agg 0 groups 0 sorts 0 windows 0 limit -1
	// select parsed false [.b] c:equal joins 0 loose 0 sub 0 unions 0 agg 0 groups 0 sorts 0 windows 0 limit -1
	// other parsed false joins 0 loose 0 sub 0 unions 0 agg 0 groups 0 sorts 0 windows 0 limit -1
}

// BenchmarkRead measures reading the features of a new shape.
func BenchmarkRead(b *testing.B) {
	sql := []byte(shortStatement)
	ReadFeatures(sql)
	b.ReportAllocs()
	for b.Loop() {
		ReadFeatures(sql)
	}
}

const shortStatement = `SELECT dia, count(*), max(nota) FROM actas_17.mesas WHERE clave = '3f9c2a' AND distrito IN (4, 8, 15, 16) AND nota > 3.5 ` +
	`GROUP BY dia HAVING count(*) > 10 ORDER BY dia DESC LIMIT 20 /* some more words that nobody reads, so that it is as long as three hundred bytes are, as many are */`
