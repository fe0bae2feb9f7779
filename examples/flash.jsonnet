// A flash crowd: from 'from' on the rate rises to 'peak' over 'over', then what is above the rate halves every
// 'half'.
local lanes = import 'lanes.libsonnet';
{
  name: 'flash',
  seed: 1,
  length: '30s',
  lanes: [lanes.lookup, lanes.load],
  load: { kind: 'flash', rate: 50, peak: 400, from: '5s', over: '1s', half: '4s' },
  clients: { reused: 0.8, tries: 3, back_off: '200ms', most_back_off: '2s' },
  site: { gateways: 2, engines: 6, cores: 8, threads: 16, most: 64 },
  bounds: { own: '5ms', allow: ['given up', 'lost'] },
}
