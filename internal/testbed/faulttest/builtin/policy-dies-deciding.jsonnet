// The leader is killed after a change has been decided and before it has sent the decision to anyone. Another voter becomes the leader. The
// change must have the same outcome for all, and the killed gateway returns with its folder.
{
  name: 'policy-dies-deciding', gateways: 8, loads: 0.5, rate: 8, length: '14s', dies: 'yielding decided 0 kill',
  policy: { voters: 5, lease: '2s' },
  steps: [
    { at: '1s', do: 'propose', gateways: ['g7'], threads: 6 },
    { at: '3s', do: 'propose', gateways: ['g6'], threads: 7 },
    { at: '9s', do: 'revive', gateways: ['g*'] },
    { at: '11s', do: 'propose', gateways: ['g5'], threads: 8 },
  ],
  expect: [{ decided: 2 }],
}
