// A day, played in half a minute: the rate swings round its mean, the peak comes at 'peaks'.
local lanes = import 'lanes.libsonnet';
{
  name: 'diurnal',
  seed: 1,
  length: '30s',
  lanes: [lanes.lookup, lanes.load],
  load: { kind: 'diurnal', rate: 100, swing: 0.6, period: '30s', peaks: '15s' },
  clients: { reused: 0.8, tries: 3, back_off: '200ms', most_back_off: '2s' },
  site: { gateways: 2, engines: 6, cores: 8, threads: 16, most: 64 },
  bounds: { own: '5ms', allow: ['given up', 'lost'] },
}
