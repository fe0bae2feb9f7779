// A load of one minute on six engines. One engine is paused for five seconds.
local lanes = import 'lanes.libsonnet';
{
  name: 'demo',
  seed: 1,
  length: '60s',
  lanes: [lanes.lookup, lanes.report, lanes.load],
  load: { kind: 'sum', parts: [
    { kind: 'poisson', rate: 120 },
    { kind: 'flash', rate: 0, peak: 80, from: '40s', over: '2s', half: '4s' },
  ] },
  clients: { reused: 0.8, kept: 0.1, tries: 3, back_off: '200ms', most_back_off: '2s', jitter: 0.5, honour: 0.8 },
  site: { gateways: 2, engines: 6, cores: 8, threads: 16, most: 64 },
  script: [
    { at: '20s', do: 'pause', which: '0' },
    { at: '25s', do: 'resume', which: '0' },
  ],
  bounds: { own: '5ms', allow: ['given up'] },
}
