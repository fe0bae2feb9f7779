// The leader is stopped after a change has been decided and before it has sent the decision to anyone. When it resumes, it still takes itself for
// the leader, in the smaller part of a cluster that has been split meanwhile.
{
  name: 'policy-sleeps', gateways: 8, loads: 0.5, rate: 8, length: '16s', dies: 'yielding decided 0 stop',
  policy: { voters: 5, lease: '2s' },
  steps: [
    { at: '1s', do: 'propose', gateways: ['g7'], threads: 6 },
    { at: '6s', do: 'propose', gateways: ['g6'], threads: 7 },
    { at: '8s', until: '12s', from: ['g[0-1]'], to: ['g[2-7]'], both: true, cut: true },
    { at: '9s', do: 'revive', gateways: ['g*'] },
    { at: '10s', do: 'propose', gateways: ['g6'], threads: 8 },
  ],
  expect: [{ decided: 2 }],
}
