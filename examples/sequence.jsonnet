// One load behind the other; each part but the last says for how long.
local lanes = import 'lanes.libsonnet';
{
  name: 'sequence',
  seed: 1,
  length: '30s',
  lanes: [lanes.lookup, lanes.load],
  load: { kind: 'sequence', parts: [
    { kind: 'steady', rate: 50, 'for': '5s' },
    { kind: 'poisson', rate: 200, 'for': '10s' },
    { kind: 'scale', factor: 0.5, parts: [{ kind: 'poisson', rate: 100 }] },
  ] },
  clients: { reused: 0.8, tries: 3, back_off: '200ms', most_back_off: '2s' },
  site: { gateways: 2, engines: 6, cores: 8, threads: 16, most: 64 },
  bounds: { own: '5ms', allow: ['given up', 'lost'] },
}
