package driver

import (
	"bytes"
	"strconv"

	"magpiebank/internal/protocol/mysql"
)

// rowChecker checks that a result is that of a request, complete and in order: the fakes' rows hold the id and k/n, the
// row's number (from 1) and how many there are.
type rowChecker struct {
	id            uint64
	enabled       bool
	number, total int // of the row before
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

func (r *rowChecker) isComplete() bool {
	return !r.enabled || !r.invalid && r.number > 0 && r.number == r.total
}
