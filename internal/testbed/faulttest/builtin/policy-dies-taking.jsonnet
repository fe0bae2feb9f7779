// The leader has all members ready for a change and dies before it asks them to give up the old one. Another leads; the change has one end, the same for all, and the dead one comes back with its folder.
{
  name: 'policy-dies-taking', gateways: 8, loads: 0.5, rate: 8, length: '14s', dies: 'yielding yielding 0 kill',
  policy: { voters: 5, lease: '2s' },
  steps: [
    { at: '1s', do: 'propose', gateways: ['g7'], threads: 6 },
    { at: '3s', do: 'propose', gateways: ['g6'], threads: 7 },
    { at: '9s', do: 'revive', gateways: ['g*'] },
    { at: '11s', do: 'propose', gateways: ['g5'], threads: 8 },
  ],
  expect: [{ decided: 2 }],
}
