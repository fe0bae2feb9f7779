// Two of three voters are down for a long time. Nothing is decided, leases end, and loads are rejected, until the operator forces a new log with
// other voters at the third one. The two return with their old state and join the new log.
{
  name: 'policy-force', gateways: 8, loads: 0.5, rate: 6, length: '40s',
  policy: { voters: 3, lease: '2s' },
  steps: [
    { at: '1s', do: 'propose', gateways: ['g7'], threads: 6 },
    { at: '3s', until: '16s', do: 'kill', gateways: ['g[01]'] },
    { at: '8s', do: 'force', gateways: ['g2', 'g3', 'g4'] },
    { at: '14s', do: 'propose', gateways: ['g6'], threads: 7 },
    { at: '25s', do: 'propose', gateways: ['g0'], threads: 8 },
  ],
  expect: [{ decided: 3 }, { voters: ['g2', 'g3', 'g4'] }],
}
