// Ten times the load of a first installation: 600 requests a second on three gateways, on loopback.
local lanes = import 'lanes.libsonnet';
{
  name: 'ten-times',
  seed: 10,
  length: '30s',
  lanes: [lanes.lookup, lanes.report, lanes.load],
  load: { kind: 'diurnal', rate: 600, swing: 0.2, period: '30s' },
  clients: { reused: 0.8, kept: 0.05, tries: 3, back_off: '200ms', most_back_off: '2s', jitter: 0.5, honour: 0.8 },
  site: { gateways: 3, engines: 24, cores: 8, threads: 16, most: 64 },
  bounds: {
    own: '1ms',
    allow: ['given up'],
    goals: [
      { lane: 'lookup', quantile: 0.99, within: '1s', delivered: 0.99 },
      { lane: 'report', quantile: 0.99, within: '3s', delivered: 0.95 },
      { lane: 'load', quantile: 0.95, within: '4s', delivered: 0.95 },
    ],
  },
}
