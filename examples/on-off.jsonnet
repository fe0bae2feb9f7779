// On and off, with periods that now and then are very long ('tail' near 1: longer): load that stays bursty at
// every scale.
local lanes = import 'lanes.libsonnet';
{
  name: 'on-off',
  seed: 1,
  length: '30s',
  lanes: [lanes.lookup, lanes.load],
  load: { kind: 'on-off', rate: 200, on: '1s', off: '1s', tail: 1.4 },
  clients: { reused: 0.8, tries: 3, back_off: '200ms', most_back_off: '2s' },
  site: { gateways: 2, engines: 6, cores: 8, threads: 16, most: 64 },
  bounds: { own: '5ms', allow: ['given up', 'lost'] },
}
