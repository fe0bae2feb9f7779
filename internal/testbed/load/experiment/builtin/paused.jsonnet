// Compares reported latencies with true ones: a fake frontend is paused for five seconds, and the reported quantiles are
// compared with its log of the times at which it sent the answers.
local lanes = import 'lanes.libsonnet';
{
  name: 'paused',
  seed: 11,
  length: '30s',
  lanes: [
    lanes.lookup { quoted: '1s', patience: '30s', service: { kind: 'lognormal', mean: '20ms', cv: 1 } },
    lanes.report { patience: '30s', service: { kind: 'lognormal', mean: '80ms', cv: 1 } },
    lanes.load { patience: '30s', service: { kind: 'exponential', mean: '100ms' } },
  ],
  load: { kind: 'poisson', rate: 400 },
  clients: { reused: 1, tries: 1 },
  front: true,
  script: [
    { at: '10s', do: 'pause' },
    { at: '15s', do: 'resume' },
  ],
  bounds: { own: '1ms', offered: 0.001, check_truth: true, truth: 0.01, truth_least: '1ms' },
}
