// One change is rehearsed first and dropped, because too many requests would be rejected. Another one is taken back during its probation, by a
// change of its own. An operator returns to an earlier policy. A gateway with an older build does not support a field, and so blocks a
// change for all.
{
  name: 'policy-tries', gateways: 8, loads: 0.5, rate: 10, length: '18s',
  policy: { voters: 5, lease: '2s' },
  planted_at: [{ gateway: 'g6', defect: 'older-build' }],
  steps: [
    { at: '1s', do: 'propose', gateways: ['g7'], threads: 6 },
    { at: '2s', do: 'propose', gateways: ['g5'], refuse: true, rehearse: '1500ms', guard: 0.2 },
    { at: '5s', do: 'propose', gateways: ['g4'], threads: 1, probation: '6s', bound: 0.0001 },
    { at: '10s', do: 'propose', gateways: ['g3'], threads: 5 },
    { at: '12s', do: 'propose', gateways: ['g2'], kind: 'rollback', number: 2 },
    { at: '14s', do: 'propose', gateways: ['g1'], threads: 5, waiting: 3 },
  ],
  expect: [{ decided: 4 }, { ends: 'dropped', why: 'guard' }, { ends: 'dropped', why: 'g6: statements.classes[0].waiting' }],
}
