// Policies change while an engine drains, while the pool for loads is empty, and while threads are lent to gateways that are then cut off. The
// threads in use must never exceed the larger total during a change, nor the new total after it.
{
  name: 'policy-hard', gateways: 9, threads: 6, term: '24s', loads: 0.7, rate: 6, length: '30s',
  policy: { voters: 5, lease: '2s' },
  steps: [
    { at: '1s', until: '5s', do: 'engine', engines: ['e-002'], be: 'drains' },
    { at: '1.5s', do: 'propose', gateways: ['g7'], threads: 12 },
    { at: '3s', do: 'propose', gateways: ['g6'], threads: 9, zones: ['sur'] },
    { at: '5s', until: '9s', do: 'engine', engines: ['e-002', 'e-004', 'e-006'], be: 'gone' },
    { at: '6s', do: 'propose', gateways: ['g5'], threads: 8, zones: ['sur'] },
    { at: '8s', do: 'propose', gateways: ['g5'], threads: 18 },
    { at: '10s', until: '20s', do: 'surge', gateways: ['g7', 'g8'], more: 40 },
    { at: '12s', until: '19s', from: ['g[78]'], to: ['g[0-6]'], both: true, cut: true },
    { at: '13s', do: 'propose', gateways: ['g5'], threads: 4 },
    { at: '22s', do: 'propose', gateways: ['g8'], threads: 16 },
  ],
  expect: [{ decided: 6 }],
}
