// Several loads at once: an even one, and a burst of reports on top.
local lanes = import 'lanes.libsonnet';
{
  name: 'sum',
  seed: 1,
  length: '30s',
  lanes: [lanes.lookup, lanes.load],
  load: { kind: 'sum', parts: [
    { kind: 'poisson', rate: 80 },
    { kind: 'thin', factor: 0.2, parts: [{ kind: 'flash', rate: 0, peak: 500, from: '8s', over: '2s', half: '3s' }] },
  ] },
  clients: { reused: 0.8, tries: 3, back_off: '200ms', most_back_off: '2s' },
  site: { gateways: 2, engines: 6, cores: 8, threads: 16, most: 64 },
  bounds: { own: '5ms', allow: ['given up', 'lost'] },
}
