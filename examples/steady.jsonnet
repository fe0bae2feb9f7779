// Tasks at even distances: what a timer sends. No queue forms unless the service itself is uneven.
local lanes = import 'lanes.libsonnet';
{
  name: 'steady',
  seed: 1,
  length: '30s',
  lanes: [lanes.lookup, lanes.load],
  load: { kind: 'steady', rate: 100 },
  clients: { reused: 0.8, tries: 3, back_off: '200ms', most_back_off: '2s' },
  site: { gateways: 2, engines: 6, cores: 8, threads: 16, most: 64 },
  bounds: { own: '5ms', allow: ['given up', 'lost'] },
}
