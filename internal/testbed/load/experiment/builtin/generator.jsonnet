// The generator alone against one stand-in that answers at once. The search raises the rate from here. The limit keeps
// the first moment from being a storm of thousands of log-ins, which is another thing to measure.
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
