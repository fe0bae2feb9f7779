package source

import "fmt"

// Errors in files, and the results of two valid files.
func ExampleParse() {
	for _, text := range []string{
		"{ statments: {} }",
		"{ statements: { memory: 4, log_every: '1ms',\n tables: [{ rows: -5 },\n { name: '[', keys: 'id' }] } }",
		"{ statements: { memory: '1kB' } }",
		"{ statements: {\n pools: [{ name: 'a' }, { name: 'a' }],\n classes: [{ name: 'x', pool: 'b', threads: 0, waiting: 0 },\n" +
			" { name: 'x', refuse: '', work_per_second: '0s',\n when: { verbs: ['selec'], full: 1, work_from: 5, tables: [{}] } }] } }",
		"{}",
		"{ statements: { tables: [{ schema: 'actas_*', name: 'mesas', rows: 2e6, keys: ['clave'] }] } }",
	} {
		f, err := Parse("operator.jsonnet", text)
		if err != nil {
			fmt.Println(err)
			continue
		}
		fmt.Println(f.Statements != nil)
		if f.Statements != nil {
			model := f.Statements.NewCostModel(1)
			for _, sql := range []string{"SELECT a FROM actas_3.mesas WHERE clave = 1", "SELECT a FROM actas_3.mesas WHERE nota = 1",
				"SELECT a FROM actas_3.otra WHERE nota = 1"} {
				query := model.Inspect([]byte(sql), 3, 0)
				e := model.Estimate(&query)
				fmt.Printf("%-45s full %q\n", sql, e.FullScan)
			}
		}
	}
	// Output:
	// operator.jsonnet:1: statments: expected "statements" (the nearest known name), found "statments"
	// operator.jsonnet:1: statements.memory: expected a size with its unit, as in "64MB", found 4
	// operator.jsonnet:1: statements.log_every: expected a time from "1s" on, found "1ms"
	// operator.jsonnet:2: statements.tables[0].name: expected a text, found nothing
	// operator.jsonnet:2: statements.tables[0].rows: expected a number from 0 to 1e+15, found -5
	// operator.jsonnet:3: statements.tables[1].name: expected a name, with * for any letters, found "["
	// operator.jsonnet:3: statements.tables[1].keys: expected a list, found "id"
	// operator.jsonnet:1: statements.memory: expected a size from "64kB" to "1GB", found "1kB"
	// operator.jsonnet:2: statements.pools[1].name: expected a name that no other pool has, found "a"
	// operator.jsonnet:3: statements.classes[0].threads: expected a number from 0.1 to 1e+06, found 0
	// operator.jsonnet:3: statements.classes[0].waiting: expected a number from 1 to 1e+06, found 0
	// operator.jsonnet:3: statements.classes[0].pool: expected the name of one of the pools, found "b"
	// operator.jsonnet:4: statements.classes[1].work_per_second: expected a time of work above 0, as in "4s", found "0s"
	// operator.jsonnet:4: statements.classes[1].refuse: expected the text of the error that clients get, found ""
	// operator.jsonnet:4: statements.classes[1].name: expected a name that no other class has, found "x"
	// operator.jsonnet:4: statements.classes[1].name: expected no further class, as x before it takes all statements, found "x"
	// operator.jsonnet:5: statements.classes[1].when.full: expected true or false, found 1
	// operator.jsonnet:5: statements.classes[1].when.work_from: expected a time with its unit, as in "250ms" or "1m30s", found 5
	// operator.jsonnet:5: statements.classes[1].when.verbs: expected some of other, select, insert, insert-select, load, update, delete, found ["selec"]
	// operator.jsonnet:5: statements.classes[1].when.tables[0].name: expected a text, found nothing
	// false
	// true
	// SELECT a FROM actas_3.mesas WHERE clave = 1   full ""
	// SELECT a FROM actas_3.mesas WHERE nota = 1    full "actas_3.mesas"
	// SELECT a FROM actas_3.otra WHERE nota = 1     full ""
}

// Errors in the field "fleet", and the result of a valid one.
func ExampleParse_fleet() {
	for _, text := range []string{
		"{ fleet: { listen: '7100', seeds: ['g1'],\n bytes_per_second: '2' } }",
		"{ fleet: { listen: '0.0.0.0:7100', key: 'k' } }",
		"{ fleet: { listen: '10.0.0.3:7100', key: 'k', budgets: { keepers: ['g0', 'g1'], term: '1ms' } },\n statements: { classes: [{ name: 'a', threads: 1.5, fleet: true }] } }",
		"{ statements: { classes: [{ name: 'a', threads: 2, fleet: true }] } }",
		"{ fleet: { listen: '0.0.0.0:7100', advertise: '10.0.0.3:7100', seeds: ['10.0.0.1:7100'], key: '/etc/fleet.key' } }",
	} {
		f, err := Parse("operator.jsonnet", text)
		if err != nil {
			fmt.Println(err)
			continue
		}
		fmt.Printf("%+v\n", *f.Cluster)
	}
	// Output:
	// operator.jsonnet:1: fleet.key: expected a text, found nothing
	// operator.jsonnet:1: fleet.listen: expected an address and port, as in "10.0.0.3:7100", found "7100"
	// operator.jsonnet:1: fleet.seeds: expected addresses and ports, of which g1 is none, found ["g1"]
	// operator.jsonnet:2: fleet.bytes_per_second: expected a size with its unit, as in "64MB", found "2"
	// operator.jsonnet:1: fleet.listen: expected an address of this machine, or advertise with the one that the others reach, found "0.0.0.0:7100"
	// operator.jsonnet:1: fleet.budgets.keepers: expected the names of 1, 3 or 5 gateways, found ["g0","g1"]
	// operator.jsonnet:1: fleet.budgets.term: expected a time from "1s" to "1h", found "1ms"
	// operator.jsonnet:2: statements.classes[0].threads: expected a whole number of threads, where they are the fleet's, found 1.5
	// operator.jsonnet:1: statements.classes[0].fleet: expected fleet.budgets in the file, by which gateways share it, found nothing
	// {Listen:0.0.0.0:7100 Advertise:10.0.0.3:7100 Seeds:[10.0.0.1:7100] Key:/etc/fleet.key BytesPerSecond:204800 ControlSocket: HistoryFile: ShareHealth:true ShareCounters:false Quota:<nil> Policy:<nil>}
}
