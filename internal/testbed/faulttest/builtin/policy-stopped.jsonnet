// Two members, and later two voters, are stopped during changes, and resume in the middle of the protocol. Clocks run 2 % too fast and too
// slow.
{
  name: 'policy-stopped', gateways: 8, loads: 0.5, rate: 8, length: '18s',
  policy: { voters: 5, lease: '2s' },
  clocks: [{ gateway: 'g6', rate: 0.98 }, { gateway: 'g7', rate: 0.98 }, { gateway: 'g0', rate: 1.02 }, { gateway: 'g1', rate: 1.02 }, { gateway: 'g2', rate: 1.02 }],
  steps: [
    { at: '1s', until: '6s', do: 'stop', gateways: ['g6'] },
    { at: '1.2s', do: 'propose', gateways: ['g7'], threads: 6 },
    { at: '7s', until: '7.6s', do: 'stop', gateways: ['g7'] },
    { at: '7.1s', do: 'propose', gateways: ['g5'], threads: 5 },
    { at: '9s', until: '14s', do: 'stop', gateways: ['g0', 'g3'] },
    { at: '9.2s', do: 'propose', gateways: ['g7'], threads: 8 },
    { at: '14s', do: 'propose', gateways: ['g6'], threads: 7 },
  ],
  expect: [{ decided: 4 }],
}
