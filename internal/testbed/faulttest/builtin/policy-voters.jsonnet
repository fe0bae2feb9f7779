// All voters are replaced, one at a time, under load. Another voter loses its folder and is a different voter from then on. Policies are
// changed during all of this.
{
  name: 'policy-voters', gateways: 9, loads: 0.5, rate: 6, length: '40s',
  policy: { voters: 3, lease: '2s' },
  steps: [
    { at: '1s', do: 'propose', gateways: ['g7'], threads: 6 },
    { at: '2s', do: 'voters', gateways: ['g3', 'g4', 'g5'] },
    { at: '5s', do: 'propose', gateways: ['g6'], threads: 7 },
    { at: '14s', do: 'propose', gateways: ['g0'], threads: 8 },
    { at: '15s', until: '16s', do: 'kill', gateways: ['g4'], folder: 'none' },
    { at: '17s', do: 'propose', gateways: ['g8'], threads: 9 },
    { at: '32s', until: '34s', do: 'kill', gateways: ['g[35]'] },
    { at: '36s', do: 'propose', gateways: ['g1'], threads: 5 },
  ],
  expect: [{ decided: 5 }, { voters: ['g3', 'g4', 'g5'] }],
}
