// Bursts: the rate stays at a level for a while (exponential, 'dwell' on average) and goes on to the next one.
local lanes = import 'lanes.libsonnet';
{
  name: 'bursts',
  seed: 1,
  length: '30s',
  lanes: [lanes.lookup, lanes.load],
  load: { kind: 'bursts', levels: [40, 300], dwell: '2s' },
  clients: { reused: 0.8, tries: 3, back_off: '200ms', most_back_off: '2s' },
  site: { gateways: 2, engines: 6, cores: 8, threads: 16, most: 64 },
  bounds: { own: '5ms', allow: ['given up', 'lost'] },
}
