package driver

import (
	"bytes"
	"strconv"

	"magpiebank/internal/protocol/mysql"
)

// rowChecker checks that a result belongs to a request, is complete and is in order. A row of the testbed's fakes holds
// the id of the request and k/n: the number of the row, from 1, and the number of rows.
type rowChecker struct {
	id            uint64
	enabled       bool
	number, total int // k and n of the previous row
	invalid       bool
}

func (r *rowChecker) checkRow(columns [3][]byte) {
	if !r.enabled || r.invalid {
		return
	}
	var id [16]byte
	numberText, totalText, ok := bytes.Cut(columns[1], []byte{'/'})
	number, numberErr := strconv.Atoi(string(numberText))
	total, totalErr := strconv.Atoi(string(totalText))
	r.invalid = !bytes.Equal(mysql.AppendID(id[:0], r.id), columns[0]) || !ok || numberErr != nil || totalErr != nil ||
		number != r.number+1 || r.number > 0 && total != r.total
	r.number, r.total = number, total
}

// isComplete reports whether all rows were valid and none is missing.
func (r *rowChecker) isComplete() bool {
	return !r.enabled || !r.invalid && r.number > 0 && r.number == r.total
}
