// Policies change while links are cut: first two voters and another gateway are separated, then other groups, then two gateways cannot send.
// At the end all links lose, duplicate and delay messages. A gateway that receives no messages must reject loads once its lease has
// ended, and must never apply an older policy.
{
  name: 'policy-cut', gateways: 9, loads: 0.5, rate: 8, length: '26s',
  policy: { voters: 5, lease: '2s' },
  clocks: [{ gateway: 'g1', rate: 1.02 }, { gateway: 'g6', rate: 0.98 }, { gateway: 'g8', rate: 0.98, born: '-60s' }],
  steps: [
    { at: '1s', until: '6s', from: ['g[01]', 'g8'], to: ['g[2-7]'], both: true, cut: true },
    { at: '1.5s', do: 'propose', gateways: ['g7'], threads: 6 },
    { at: '2s', do: 'propose', gateways: ['g0'], threads: 5 },
    { at: '7s', until: '12s', from: ['g[2-4]', 'g6'], to: ['g[015789]'], both: true, cut: true },
    { at: '7.5s', do: 'propose', gateways: ['g5'], threads: 9 },
    { at: '8s', do: 'propose', gateways: ['g3'], threads: 8 },
    { at: '13s', until: '17s', from: ['g7', 'g2'], to: ['g[0-6]', 'g8'], cut: true },
    { at: '13.5s', do: 'propose', gateways: ['g6'], threads: 7 },
    { at: '18s', until: '25s', from: ['g*'], to: ['g*'], both: true, loss: 0.15, double: 0.1, reorder: 0.2, flip: 0.02, delay: '10ms', spread: '60ms' },
    { at: '19s', do: 'propose', gateways: ['g4'], threads: 5 },
    { at: '21s', do: 'propose', gateways: ['g8'], threads: 4 },
  ],
  expect: [{ decided: 4 }],
}
