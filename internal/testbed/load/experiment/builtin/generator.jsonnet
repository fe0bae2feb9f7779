// The generator against one fake frontend that answers at once. The search raises the rate from the one given here. The limit
// of connections prevents thousands of simultaneous log-ins at the start, which would distort this measurement.
{
  name: 'generator',
  seed: 3,
  length: '10s',
  lanes: [{ name: 'look', quoted: '10ms', patience: '5s', rows: 1, statements: ['SELECT 1 FROM actas_{group}.mesas'], groups: 8 }],
  load: { kind: 'poisson', rate: 20000 },
  clients: { reused: 1, tries: 1, connections: 400 },
  front: true,
  bounds: { own: '1ms', queued: '5ms' },
}
