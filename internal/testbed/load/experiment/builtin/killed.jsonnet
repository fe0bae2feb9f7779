// One of two gateways is killed under load and started again. Each request must have exactly one outcome.
local lanes = import 'lanes.libsonnet';
{
  name: 'killed',
  seed: 5,
  length: '20s',
  lanes: [lanes.lookup, lanes.report, lanes.load],
  load: { kind: 'poisson', rate: 200 },
  clients: { reused: 0.8, tries: 4, back_off: '200ms', most_back_off: '2s', jitter: 0.5, budget: 1 },
  site: { gateways: 2, engines: 8, cores: 8, threads: 16, most: 64 },
  script: [
    { at: '6s', do: 'kill', which: '0' },
    { at: '9s', do: 'start', which: '0' },
  ],
  bounds: { own: '5ms', allow: ['lost', 'given up'] },
}
