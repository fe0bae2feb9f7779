package digest

import (
	"fmt"
	"os"
	"strings"
	"time"

	"magpiebank/internal/query/costmodel"
	"magpiebank/internal/query/sqltext"
)

func ExampleSummarize() {
	var list []Entry
	add := func(sql string, group int, ms ...int) {
		for _, v := range ms {
			list = append(list, Entry{Shape: sqltext.Shape([]byte(sql)), TableGroup: group, Text: sql, Elapsed: time.Duration(v) * time.Millisecond, RowsExamined: int64(10 * v)})
		}
	}
	add("SELECT a FROM actas_1.mesas WHERE clave = 'x'", 1, 10, 12, 11, 10, 9, 200)
	add("select a from ACTAS_2.mesas where clave = 'y'", 2, 10)
	add("SELECT dia, count(*) FROM actas_1.mesas GROUP BY dia", 1, 900, 1100)
	add("SELEC x", 0, 1)
	tables := func(*costmodel.Table) (float64, []string, bool) { return 0, []string{"clave"}, true }
	d := Summarize(list, 2, tables, nil)
	if err := d.WriteText(os.Stdout); err != nil {
		fmt.Println(err)
	}
	// Entries without a recorded time count with the usual time from a snapshot.
	for i := range list {
		list[i].Elapsed = 0
	}
	d = Summarize(list, 1, nil, func(_ uint64, group int) (float64, bool) { return 50, group == 1 })
	fmt.Println(d.StatementsBySnapshot, d.TotalMS, d.Rows[0].Count)
	var page strings.Builder
	list[0].Text = "SELECT `<b>` FROM t"
	fmt.Println(Summarize(list[:1], 1, nil, nil).WriteHTML(&page), strings.Contains(page.String(), "<b>"), strings.Contains(page.String(), "&lt;b&gt;"))
	// Output:
	// 10 statements of 3 shapes, 2.3 s in all
	//
	//   share  count  mean ms     p50     p99   worst  bad  rows read  groups    verb
	//   88.4%      2   1000.0  1051.4  1051.4  1100.0   0%      10000       1  select
	//   11.6%      7     37.4     9.7   200.0   200.0  14%        374       2  select
	// 1 more shapes, 0.0%
	//
	// 1. shape 4f2d2ffd5d39b410
	//    select dia , count ( * ) from actas_? . mesas group by dia
	//    reads the whole of actas_1.mesas
	//
	// 2. shape ea0838caaf5c7c70
	//    select a from actas_? . mesas where clave = ?
	// 8 400 7
	// <nil> false true
}
