// Clients that are slow to read, that leave without a word, that connect and never speak; a limit on
// connections.
local lanes = import 'lanes.libsonnet';
{
  name: 'odd-clients',
  seed: 1,
  length: '30s',
  lanes: [lanes.lookup, lanes.load],
  load: { kind: 'poisson', rate: 100 },
  site: { gateways: 2, engines: 6, cores: 8, threads: 16, most: 64 },
  clients: { connections: 200, reused: 0.6, kept: 0.2, tries: 3, slow: 0.02, leave: 0.02, mute: 0.01 },
  bounds: { own: '5ms', allow: ['given up', 'lost'] },
}
