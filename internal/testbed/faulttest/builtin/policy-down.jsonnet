// Four of ten gateways are down while policies change. They return one by one with the folders of the old policy: one with a folder from
// the time of a proposal that was dropped, one with an older folder, one without a folder. The first one to return is cut off for two
// seconds. Later a second process starts with the name of another one.
{
  name: 'policy-down', gateways: 10, loads: 0.5, rate: 6, length: '22s',
  policy: { voters: 5, lease: '2s' },
  steps: [
    { at: '500ms', do: 'keep', gateways: ['g8'] },
    { at: '1s', do: 'propose', gateways: ['g5'], threads: 6 },
    { at: '1.5s', do: 'propose', gateways: ['g6'], threads: 6, zones: ['este'] },
    { at: '2s', until: '9s', do: 'kill', gateways: ['g4'] },
    { at: '2s', until: '10s', do: 'kill', gateways: ['g7'] },
    { at: '2s', until: '11s', do: 'kill', gateways: ['g8'], folder: 'older' },
    { at: '2s', until: '12s', do: 'kill', gateways: ['g9'], folder: 'none' },
    { at: '3s', do: 'propose', gateways: ['g5'], threads: 7 },
    { at: '7s', do: 'propose', gateways: ['g6'], threads: 8 },
    { at: '8.9s', until: '11s', from: ['g4'], to: ['g*'], both: true, cut: true },
    { at: '13s', do: 'twin', gateways: ['g7'] },
    { at: '14s', do: 'propose', gateways: ['g9'], threads: 5 },
    { at: '18s', do: 'propose', gateways: ['g4'], threads: 9 },
  ],
  expect: [{ decided: 5 }],
}
