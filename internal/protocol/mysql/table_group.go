package mysql

import (
	"bytes"
	"strconv"
	"strings"

	"magpiebank/internal/query/sqltext"
)

// stagingSchema is the schema of tables that belong to no group.
const stagingSchema = "staging"

// TableGroup returns the number of the group of tables that a statement reads or writes, or 0 if it finds none. This is the
// number after the last underscore in the schema of the first qualified table name that has one. TableGroup ignores strings,
// comments, the staging schema, and columns that are qualified with a table or its alias.
func TableGroup(sql []byte) int {
	lexer := sqltext.Lexer{Text: sql}
	expectTable := false // the next name may be the name of a table
	inTableList := false // after a comma, the next name may again be the name of a table
	for token := lexer.Next(); token.Kind != sqltext.End; token = lexer.Next() {
		if token.Sign == ',' && inTableList {
			expectTable = true
			continue
		}
		if token.Kind != sqltext.Word && token.Kind != sqltext.Quoted {
			continue
		}
		name := lexer.Bytes(token)
		if lexer.NextIsDot() {
			lexer.Next() // skip the dot
			lexer.Next() // skip the name after the dot
			if group, ok := schemaGroup(name); ok && expectTable {
				return group
			}
			expectTable = false
			continue
		}
		if token.Kind == sqltext.Quoted {
			continue
		}
		switch strings.ToUpper(string(name)) {
		case "FROM", "JOIN", "USING":
			expectTable, inTableList = true, true
		case "INTO", "UPDATE", "TABLE", "INSERT", "REPLACE", "DELETE":
			expectTable = true
		case "SELECT", "SET", "VALUES", "VALUE", "WHERE", "GROUP", "ORDER", "HAVING", "LIMIT", "ON":
			expectTable, inTableList = false, false
		}
	}
	return 0
}

// schemaGroup returns the group number at the end of a schema's name. ok reports whether the name has one.
func schemaGroup(schema []byte) (group int, ok bool) {
	underscore := bytes.LastIndexByte(schema, '_')
	if underscore < 0 || bytes.EqualFold(schema, []byte(stagingSchema)) {
		return 0, false
	}
	number, err := strconv.ParseUint(string(schema[underscore+1:]), 10, 31)
	return int(number), err == nil
}
