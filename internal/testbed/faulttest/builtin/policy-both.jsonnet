// Gateways that are cut off during a change continue with what both the old and the new policy allow, and apply no later change.
{
  name: 'policy-both', gateways: 9, loads: 0.5, rate: 8, length: '30s',
  policy: { voters: 5, lease: '2s' },
  steps: [
    { at: '500ms', until: '8s', from: ['g8'], to: ['g*'], both: true, cut: true },
    { at: '1s', do: 'propose', gateways: ['g5'], threads: 6, both_for: '6s' },
    { at: '1.8s', until: '6s', from: ['g[67]'], to: ['g[0-5]', 'g8'], both: true, cut: true },
    { at: '5s', do: 'propose', gateways: ['g5'], threads: 7 },
    { at: '14s', do: 'propose', gateways: ['g8'], threads: 8, both_for: '6s' },
    { at: '24s', do: 'propose', gateways: ['g7'], threads: 5 },
  ],
  expect: [{ decided: 4 }],
}
