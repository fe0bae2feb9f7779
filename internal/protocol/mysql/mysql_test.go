package mysql

import (
	"bytes"
	"errors"
	"fmt"
	"testing"
)

func ExampleReadRequest() {
	for _, sql := range []string{
		"/* class=report,id=9b1f03aa5c7e2d41,wait=1500,retry=1 */ SELECT day FROM sales_17.orders",
		"/* class=load,id=92baefc1c2b30963,wait=24268,tenant=east-coast,cost=3701.6," +
			"once=6520e9b9eb7682deebfe42a23d2c027c,key=000f32068cc24621,mb=888 */ SELECT day FROM sales_17.orders",
	} {
		r, err := ReadRequest([]byte(sql))
		fmt.Printf("%s %s %d %v [%s] %v\n", r.Class, r.ID, r.WaitMS, r.Retry, r.Statement, err)
		fmt.Printf("%q %q %q %g ms %g MB\n", r.Tenant, r.Key, r.IdempotencyToken, r.WorkMS, r.MemoryMB)
	}
	// Output:
	// report 9b1f03aa5c7e2d41 1500 true [SELECT day FROM sales_17.orders] <nil>
	// "" "" "" 0 ms 0 MB
	// load 92baefc1c2b30963 24268 false [SELECT day FROM sales_17.orders] <nil>
	// "east-coast" "000f32068cc24621" "6520e9b9eb7682deebfe42a23d2c027c" 3701.6 ms 888 MB
}

func ExampleAppendRows() {
	rows, number, err := AppendRows(nil, 5, []byte("mon\t3\tx\ntue\t\tlong\n"))
	fmt.Printf("%q next %d, %v\n", rows, number, err)
	_, _, err = AppendRows(nil, 5, []byte("mon\t3\tx\ntue\t4"))
	fmt.Println(err)
	// Output:
	// "\b\x00\x00\x05\x03mon\x013\x01x\n\x00\x00\x06\x03tue\x00\x04long" next 7, <nil>
	// malformed rows
}

func ExampleAppendRejection() {
	fmt.Printf("%q\n", AppendRejection(nil, 1, 250))
	fmt.Printf("%q\n", AppendError(nil, 1, ErrInterrupted, "written off"))
	// Output:
	// "\x1f\x00\x00\x01\xff\xb3\x04#42000no room now, after=250"
	// "\x14\x00\x00\x01\xff%\x05#70100written off"
}

func ExampleAppendGreeting() {
	greeting := AppendGreeting(nil, 7, &[20]byte{0: 'a', 7: 'h', 8: 'i', 19: 't'})
	fmt.Printf("%q\n", greeting)
	// Output: "U\x00\x00\x00\n8.0.36-magpiebank\x00\a\x00\x00\x00a\x00\x00\x00\x00\x00\x00h\x00\t\xa2!\x02\x00\b\x00\x15\x00\x00\x00\x00\x00\x00\x00\x00\x00\x00i\x00\x00\x00\x00\x00\x00\x00\x00\x00\x00t\x00mysql_native_password\x00"
}

func ExampleAppendColumns() {
	packets, number := AppendColumns(nil, 1)
	fmt.Printf("%q\nnext %d\n%q\n", packets[:38], number, AppendEOF(nil, number))
	// Output:
	// "\x01\x00\x00\x01\x03\x1a\x00\x00\x02\x03def\x00\x00\x00\x02c1\x02c1\f!\x00\xff\xff\x00\x00\xfd\x00\x00\x00\x00\x00\x1a\x00\x00"
	// next 6
	// "\x05\x00\x00\x06\xfe\x00\x00\x02\x00"
}

// loginPacket returns the payload of a client's first packet with the given capabilities.
func loginPacket(flags uint32, rest string) []byte {
	b := make([]byte, loginFixedSize)
	b[0], b[1], b[2], b[3] = byte(flags), byte(flags>>8), byte(flags>>16), byte(flags>>24)
	return append(b, rest...)
}

func TestParseLogin(t *testing.T) {
	const allCapabilities = protocol41 | secureConnection | connectWithDB
	for _, c := range []struct {
		packet                   []byte
		user, password, database string
		err                      error
	}{
		{loginPacket(allCapabilities, "app\x00\x00reports\x00mysql_native_password\x00"), "app", "", "reports", nil},
		{loginPacket(allCapabilities, "app\x00\x03abcreports"), "app", "abc", "reports", nil},
		{loginPacket(protocol41|secureConnection, "app\x00\x00"), "app", "", "", nil},
		{loginPacket(protocol41, "app\x00\x00"), "app", "", "", nil},
		{loginPacket(allCapabilities, "app\x00\x09abc"), "", "", "", ErrMalformedLogin},
		{loginPacket(allCapabilities, "app"), "", "", "", ErrMalformedLogin},
		{loginPacket(secureConnection, "app\x00\x00"), "", "", "", ErrMalformedLogin},
		{[]byte("short"), "", "", "", ErrMalformedLogin},
	} {
		user, password, database, err := ParseLogin(c.packet)
		if string(user) != c.user || string(password) != c.password || string(database) != c.database || !errors.Is(err, c.err) {
			t.Errorf("%q: got %q %q %q %v", c.packet, user, password, database, err)
		}
	}
}

func TestReadRequestRejectsMalformedFields(t *testing.T) {
	for _, c := range []struct {
		sql  string
		want error
	}{
		{"SELECT 1", ErrNoFields},
		{"/* class=a,id=0123456789abcdef,wait=5", ErrNoFields},
		{"/* id=0123456789abcdef,wait=5 */ SELECT 1", ErrClass},
		{"/* class=a,wait=5 */ SELECT 1", ErrID},
		{"/* class=a,id=0123456789abcdeg,wait=5 */ SELECT 1", ErrID},
		{"/* class=a,id=0123456789abcdef */ SELECT 1", ErrWait},
		{"/* class=a,id=0123456789abcdef,wait=-5 */ SELECT 1", ErrWait},
		{"/* class=a,id=0123456789abcdef,wait=soon */ SELECT 1", ErrWait},
		{"/* class=a,id=0123456789abcdef,wait=99999999999 */ SELECT 1", ErrWait},
		{"/* class=a,id=0123456789ABCDEF,wait=5 */ SELECT 1", ErrID},
		{"/* class=a,id=0123456789abcdef,id=1123456789abcdef,wait=5 */ SELECT 1", ErrUnexpectedField},
		{"/* class=a,class=a,id=0123456789abcdef,wait=5 */ SELECT 1", ErrUnexpectedField},
		{"/* class=a,id=0123456789abcdef,wait=5,wait=5 */ SELECT 1", ErrUnexpectedField},
		{"/* class=a,id=0123456789abcdef,wait=5,mb=1e12 */ SELECT 1", ErrMemory},
		{"/* class=a,id=0123456789abcdef,wait=5,mb=-1 */ SELECT 1", ErrMemory},
		{"/* class=a,id=0123456789abcdef,wait=5,mb=NaN */ SELECT 1", ErrMemory},
		{"/* class=a,id=0123456789abcdef,wait=5,mb=5,mb=5 */ SELECT 1", ErrUnexpectedField},
		{"/* class=a,id=0123456789abcdef,wait=5,cost=x */ SELECT 1", ErrCost},
		{"/* class=a,id=0123456789abcdef,wait=5,cost=1e99 */ SELECT 1", ErrCost},
		{"/* class=a,id=0123456789abcdef,wait=5,tenant= */ SELECT 1", ErrTenant},
		{"/* class=a,id=0123456789abcdef,wait=5,tenant=t,tenant=t */ SELECT 1", ErrUnexpectedField},
		{"/* class=a,id=0123456789abcdef,wait=5,once=6520e9b9eb7682de */ SELECT 1", ErrIdempotencyToken},
		{"/* class=a,id=0123456789abcdef,wait=5,key=000F32068cc24621 */ SELECT 1", ErrKey},
		{"/* class=a,id=0123456789abcdef,wait=5,prio=3 */ SELECT 1", ErrUnexpectedField},
		{"/* class=a,id=0123456789abcdef,wait=5,retry=1,retry=1 */ SELECT 1", ErrUnexpectedField},
		{"/* class=a,id=0123456789abcdef,wait=5,retry=x */ SELECT 1", ErrUnexpectedField},
		{"/* class=a,id=0123456789abcdef,wait=5 */ ", ErrStatement},
		{"/* class=a,id=0123456789abcdef,wait=5 */ SELECT '\xff'", ErrStatement},
		{"/* class=a,id=0123456789abcdef,wait=5 */ SELECT '\x00'", ErrStatement},
		{"/* class=a,id=0123456789abcdef,wait=5 */ SELECT 1; DROP TABLE staging.x", ErrStatement},
		{"/* class=a,id=0123456789abcdef,wait=5 */ SELECT ';' -- ;\n; /* ; */", nil},
	} {
		if _, err := ReadRequest([]byte(c.sql)); !errors.Is(err, c.want) {
			t.Errorf("%s: got %v, want %v", c.sql, err, c.want)
		}
	}
}

func TestTableGroup(t *testing.T) {
	for sql, want := range map[string]int{
		"SELECT day FROM sales_17.orders WHERE tag = '3f9c'":                                                  17,
		"SELECT day FROM `sales_17`.`orders`":                                                                 17,
		"SELECT day FROM\n\tsales_17 . orders o":                                                              17,
		"select 'from a_1.b', \"from a_2.b\" from sales_3.orders":                                             3,
		"SELECT 'it''s from a_1.b' FROM sales_4.x":                                                            4,
		`SELECT 'it\'s from a_1.b' FROM sales_5.x`:                                                            5,
		"SELECT 1 /* FROM a_1.b */ FROM sales_6.x":                                                            6,
		"SELECT 1 -- FROM a_1.b\nFROM sales_7.x":                                                              7,
		"SELECT 1 # FROM a_1.b\nFROM sales_8.x":                                                               8,
		"SELECT 1--1 FROM sales_9.x":                                                                          9,
		"INSERT INTO sales_10.x SELECT * FROM staging.y_3":                                                    10,
		"INSERT INTO staging.x SELECT * FROM sales_11.y":                                                      11,
		"INSERT IGNORE INTO sales_12.x VALUES ('a_1.b')":                                                      12,
		"WITH w AS (SELECT * FROM sales_22.x WHERE t = 'h') SELECT a, sum(n) FROM w":                          22,
		"merge into sales_23.x d using staging.delta_4 s on d.id = s.id when matched then update set n = s.n": 23,
		"UPDATE sales_13.x SET a = 1":                                                                         13,
		"DELETE FROM sales_14.x":                                                                              14,
		"SELECT t_9.a FROM sales_15.x t_9 WHERE t_9.a = 1":                                                    15,
		"SELECT a FROM staging.x_2, sales_16.y":                                                               16,
		"SELECT a FROM (SELECT b FROM sales_18.x) q_1":                                                        18,
		"SELECT a FROM x JOIN sales_19.y ON a_2.b = 1":                                                        19,
		"LOAD DATA INFILE 'a_1.b' INTO TABLE sales_20.x":                                                      20,
		"SELECT a FROM north_sales_21.x":                                                                      21,
		"SELECT 1 FROM sales_.x":                                                                              0, "SELECT 1": 0, "SELECT 'open": 0, "SELECT `a": 0, "/* open": 0, "": 0,
	} {
		if got := TableGroup([]byte(sql)); got != want {
			t.Errorf("%q: got %d, want %d", sql, got, want)
		}
	}
}

func TestParseKillQuery(t *testing.T) {
	for sql, want := range map[string]uint32{"KILL QUERY 77": 77, "kill query 4294967295;": 1<<32 - 1} {
		if got, ok := ParseKillQuery([]byte(sql)); !ok || got != want {
			t.Errorf("%q: got %d, %v", sql, got, ok)
		}
	}
	for _, sql := range []string{"KILL 77", "KILL QUERY", "KILL QUERY x", "KILL QUERY 4294967296", "SELECT 1 2"} {
		if _, ok := ParseKillQuery([]byte(sql)); ok {
			t.Errorf("%q: parsed as a KILL QUERY statement", sql)
		}
	}
}

func FuzzRequest(f *testing.F) {
	f.Add([]byte("/* class=a,id=0123456789abcdef,wait=5 */ SELECT `x`, 'y\\'' FROM a_1.b -- c"))
	f.Add([]byte("INSERT INTO `staging`.x SELECT \"\" FROM # \n a_2 . `b"))
	f.Fuzz(func(t *testing.T, sql []byte) {
		TableGroup(sql)
		ParseKillQuery(sql)
		if r, err := ReadRequest(sql); err == nil && (len(r.ID) != 16 || r.WaitMS <= 0 || !bytes.HasSuffix(sql, r.Statement) ||
			!(r.WorkMS >= 0 && r.WorkMS <= maxEstimate) || !(r.MemoryMB >= 0 && r.MemoryMB <= maxEstimate)) {
			t.Errorf("%q: %+v", sql, r)
		}
	})
}

func FuzzPackets(f *testing.F) {
	f.Add([]byte("a\tb\tc\n"))
	f.Add(loginPacket(protocol41|secureConnection, "app\x00\x00"))
	f.Fuzz(func(t *testing.T, b []byte) {
		_, _, _, _ = ParseLogin(b)
		rows, _, err := AppendRows(nil, 0, b)
		if err != nil && !errors.Is(err, ErrMalformedRows) {
			t.Error(err)
		}
		for n := 0; len(rows) > 0; n++ {
			length, number := ParseHeader(rows)
			if number != byte(n) || length > len(rows)-HeaderSize {
				t.Fatalf("packet %d has number %d and length %d of %d", n, number, length, len(rows)-HeaderSize)
			}
			rows = rows[HeaderSize+length:]
		}
	})
}

// The server side reads what the client side writes, and the other way round. The client side allocates no memory for a query
// and its response.
func TestClient(t *testing.T) {
	if connection, err := ReadGreeting(AppendGreeting(nil, 77, &[20]byte{})[HeaderSize:]); connection != 77 || err != nil {
		t.Errorf("greeting: %d, %v", connection, err)
	}
	user, password, database, err := ParseLogin(AppendLogin(nil, "app", "reports")[HeaderSize:])
	if string(user) != "app" || len(password) > 0 || string(database) != "reports" || err != nil {
		t.Errorf("login: %q %q %q %v", user, password, database, err)
	}
	if connection, ok := ParseKillQuery(AppendKill(nil, 77)[HeaderSize+1:]); connection != 77 || !ok {
		t.Errorf("kill: %d", connection)
	}
	statement := func(b []byte) []byte { return append(b, "SELECT 1 FROM actas_4.m"...) }
	var queryPacket, responsePackets []byte
	responsePackets, number := AppendColumns(responsePackets, 1)
	responsePackets, number, _ = AppendRows(responsePackets, number, []byte("a\tb\tc\nd\te\tf\n"))
	responsePackets = AppendEOF(responsePackets, number)
	var rows int
	row := func([3][]byte) { rows++ }
	allocations := testing.AllocsPerRun(100, func() {
		queryPacket = AppendQuery(queryPacket[:0], QueryFields{Class: "look", ID: 0xab, WaitMS: 1500, Retry: true}, statement)
		var response Response
		for rest := responsePackets; len(rest) > 0; {
			length, _ := ParseHeader(rest)
			done, err := response.ReadPacket(rest[HeaderSize:HeaderSize+length], row)
			rest = rest[HeaderSize+length:]
			if err != nil || done != (len(rest) == 0) {
				t.Fatal(done, err)
			}
		}
	})
	r, err := ReadRequest(queryPacket[HeaderSize+1:])
	if string(r.Class) != "look" || string(r.ID) != "00000000000000ab" || r.WaitMS != 1500 || !r.Retry || !IsRetry(queryPacket[HeaderSize+1:]) ||
		rows != 202 || string(r.Statement) != "SELECT 1 FROM actas_4.m" || err != nil || allocations != 0 {
		t.Errorf("%+v %v, %d rows, %.0f allocations", r, err, rows, allocations)
	}
}

func ExampleResponse() { // an OK packet, errors, malformed responses, and a truncated row
	for _, packets := range [][]byte{AppendOK(nil, 1), AppendRejection(nil, 1, 250), AppendError(nil, 1, ErrInterrupted, "x"), {1, 0, 0, 1, 9}, {2, 0, 0, 1, 3, 3},
		append(func() []byte { b, _ := AppendColumns(nil, 1); return b }(), 2, 0, 0, 6, 5, 'a')} {
		var response Response
		var done bool
		var err error
		for ; len(packets) > 0 && err == nil; packets = packets[HeaderSize+int(packets[0]):] {
			done, err = response.ReadPacket(packets[HeaderSize:HeaderSize+int(packets[0])], func([3][]byte) {})
		}
		fmt.Println(done, response.Code, IsRejected(response.Code), response.RetryAfterMS, err)
	}
	// Output:
	// true 0 false 0 <nil>
	// true 1203 true 250 <nil>
	// true 1317 false 0 <nil>
	// false 0 false 0 malformed answer
	// false 0 false 0 malformed answer
	// false 0 false 0 malformed answer
}
