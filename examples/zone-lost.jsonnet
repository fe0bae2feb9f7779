// One zone's engines are gone for ten seconds and come back; the list says so three seconds later.
local lanes = import 'lanes.libsonnet';
{
  name: 'zone-lost',
  seed: 1,
  length: '30s',
  lanes: [lanes.lookup, lanes.load],
  load: { kind: 'poisson', rate: 120 },
  clients: { reused: 0.8, tries: 3, back_off: '200ms', most_back_off: '2s' },
  site: { gateways: 2, engines: 6, cores: 8, threads: 16, most: 64 },
  script: [
    { at: '8s', do: 'refuse', which: 'sur' },
    { at: '11s', do: 'gone', which: 'sur' },
    { at: '18s', do: 'accept', which: 'sur' },
    { at: '18s', do: 'ready', which: 'sur' },
  ],
  bounds: { own: '5ms', allow: ['given up', 'lost'] },
}
