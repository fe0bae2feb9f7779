// A ramp: where does the service begin to suffer?
local lanes = import 'lanes.libsonnet';
{
  name: 'ramp',
  seed: 1,
  length: '30s',
  lanes: [lanes.lookup, lanes.load],
  load: { kind: 'ramp', rate: 20, peak: 300, over: '20s' },
  clients: { reused: 0.8, tries: 3, back_off: '200ms', most_back_off: '2s' },
  site: { gateways: 2, engines: 6, cores: 8, threads: 16, most: 64 },
  bounds: { own: '5ms', allow: ['given up', 'lost'] },
}
