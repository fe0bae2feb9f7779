// The disk of one voter becomes full, that of another one takes a third of a second for each sync, and that of a third one reports data as
// stored that is not. All gateways are killed while a change is being decided, and return. None may apply an older policy then. The voter with
// the full disk blocks all further changes.
{
  name: 'policy-disks', gateways: 8, loads: 0.5, rate: 6, length: '26s',
  policy: { voters: 5, lease: '2s' },
  disks: [{ gateway: 'g1', be: 'full', after: '16s' }, { gateway: 'g2', be: 'slow', after: '3s' }, { gateway: 'g3', be: 'lies', after: '3s' }],
  steps: [
    { at: '1s', do: 'propose', gateways: ['g7'], threads: 6 },
    { at: '4s', do: 'propose', gateways: ['g6'], threads: 7, as: 'seven' },
    { at: '4.35s', until: '5s', do: 'kill', gateways: ['g*'] },
    { at: '10s', do: 'propose', gateways: ['g6'], threads: 7, as: 'seven' },
    { at: '14s', do: 'propose', gateways: ['g5'], threads: 9 },
    { at: '24s', do: 'propose', gateways: ['g5'], threads: 10 },
  ],
  expect: [{ decided: 3 }, { why: 'g1: no room to keep it' }],
}
