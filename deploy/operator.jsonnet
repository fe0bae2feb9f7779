// The operator's own file: magpiebank serve --operator FILE. Without it a gateway does none of this.
// docs/statements.md has the fields; magpiebank statement check FILE says what the file asks for, or what is amiss.
{
  // Who else is there, and what they saw of engines; docs/fleet.md. Only where the site allows messages between gateways.
  // fleet: { listen: '10.0.0.3:7100', seeds: ['10.0.0.1:7100', '10.0.0.2:7100'], key: '/etc/magpiebank/fleet.key',
  //          control: '/run/magpiebank/fleet.sock' },
  statements: {
    memory: '2MB', // that what is learned may take
    log_every: '1m',
    // snapshot: '/var/lib/magpiebank/statements', // kept at a stop and on SIGUSR1, read at start
    tables: [
      // { schema: 'actas_*', name: 'mesas', rows: 2000000, keys: ['clave', 'distrito', 'dia'] },
    ],
    pools: [
      // { name: 'reportes', zones: ['sala-norte'] },
    ],
    classes: [ // the first that fits counts; threads, waiting and work are each gateway's own
      // { name: 'never', when: { full: true, limited: false, tables: [{ schema: 'actas_*', name: 'mesas' }] },
      //   refuse: 'ask for one distrito, or set a LIMIT' },
      // { name: 'dear', when: { upper_from: '5s' }, pool: 'reportes', threads: 8, waiting: 20, work_per_second: '4s' },
    ],
  },
}
