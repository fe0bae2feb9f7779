package mysql

import (
	"bytes"
	"strconv"
	"strings"

	"magpiebank/internal/query/sqltext"
)

// stagingSchema is the schema whose tables belong to no group.
const stagingSchema = "staging"

// TableGroup finds the group of tables that a statement reads or writes: the number behind the underscore in the name
// of the schema before a table's name. It returns 0 if there is none. Strings, comments and the staging schema do not
// count, nor do columns qualified by a table's alias.
func TableGroup(sql []byte) int {
	lexer := sqltext.Lexer{Text: sql}
	expectTable := false // the next name may be a table's
	inTableList := false // after a comma the next name may be a table's again
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
			lexer.Next() // the dot
			lexer.Next() // the qualified name
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

// schemaGroup reads the group's number at the end of a schema's name.
func schemaGroup(schema []byte) (group int, ok bool) {
	underscore := bytes.LastIndexByte(schema, '_')
	if underscore < 0 || bytes.EqualFold(schema, []byte(stagingSchema)) {
		return 0, false
	}
	number, err := strconv.ParseUint(string(schema[underscore+1:]), 10, 31)
	return int(number), err == nil
}
