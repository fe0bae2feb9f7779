// The threads of loads are changed again and again under load, with all gateways connected. Two proposals are made at once, one is made twice,
// and one has a long text. One has a pool in a zone that does not exist and one an unknown field; both must be refused with the name of the
// field. One is only rehearsed.
{
  name: 'policy-changes', gateways: 8, threads: 8, term: '24s', loads: 0.5, rate: 8, length: '10s',
  policy: { voters: 5, lease: '2s' },
  steps: [{ at: '%dms' % (500 + 700 * k), do: 'propose', gateways: ['g%d' % (k % 8)], threads: 4 + k } for k in std.range(0, 7)] + [
    { at: '6.5s', do: 'propose', gateways: ['g1'], threads: 20 },
    { at: '6.5s', do: 'propose', gateways: ['g6'], threads: 21 },
    { at: '7s', do: 'propose', gateways: ['g2'], threads: 7, as: 'once' },
    { at: '7.1s', do: 'propose', gateways: ['g5'], threads: 7, as: 'once' },
    { at: '7.5s', do: 'propose', gateways: ['g3'], threads: 9, size: '1000kB' },
    { at: '8.5s', do: 'propose', gateways: ['g4'], threads: 9, zones: ['este'] },
    { at: '9s', do: 'propose', gateways: ['g4'], threads: 9, field: 'looser' },
    { at: '9.2s', do: 'propose', gateways: ['g7'], kind: 'rehearse', refuse: true, rehearse: '700ms' },
  ],
  expect: [{ decided: 10 }, { ends: 'refused', why: 'statements.pools[0].zones: expected some of ["norte" "sur"]' }, { ends: 'refused', why: 'looser' },
           { ends: 'rehearsed', why: 'refused' }],
}
