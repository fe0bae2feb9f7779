// Steps: each rate for 'dwell', the last one for good.
local lanes = import 'lanes.libsonnet';
{
  name: 'step',
  seed: 1,
  length: '30s',
  lanes: [lanes.lookup, lanes.load],
  load: { kind: 'step', levels: [50, 100, 200, 100], dwell: '5s' },
  clients: { reused: 0.8, tries: 3, back_off: '200ms', most_back_off: '2s' },
  site: { gateways: 2, engines: 6, cores: 8, threads: 16, most: 64 },
  bounds: { own: '5ms', allow: ['given up', 'lost'] },
}
