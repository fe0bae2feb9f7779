// The clock of a busy gateway runs a twentieth too slow, and those of the voters run too fast. The gateway receives no messages during two
// changes. It holds its lease for longer than the leader's clock shows, and a change must wait for that.
{
  name: 'policy-slow', gateways: 8, loads: 0.5, rate: 8, length: '12s',
  policy: { voters: 5, lease: '3s' },
  clocks: [{ gateway: 'g7', rate: 0.95 }] + [{ gateway: 'g%d' % k, rate: 1.04 } for k in std.range(0, 4)],
  steps: [
    { at: '1s', until: '11s', do: 'surge', gateways: ['g7'], more: 100 },
    { at: '2s', until: '6s', from: ['g7'], to: ['g*'], both: true, cut: true },
    { at: '2.5s', do: 'propose', gateways: ['g5'], threads: 6 },
    { at: '7s', until: '11s', from: ['g*'], to: ['g7'], cut: true },
    { at: '7.5s', do: 'propose', gateways: ['g6'], threads: 7 },
  ],
  expect: [{ decided: 2 }],
}
