// The total of threads is raised, then lowered below what is in use, and raised again. Meanwhile some gateways are cut off or down, and
// read a new total only later.
{
  name: 'budget-totals', gateways: 9, threads: 12, term: '24s', loads: 0.7, rate: 8, length: '70s',
  steps: [
    { at: '2s', until: '6s', from: ['g[6-8]'], to: ['g[0-5]'], both: true, cut: true },
    { at: '3s', do: 'limit', gateways: ['g[0-5]'], threads: 18 },
    { at: '8s', do: 'limit', gateways: ['g[0-5]'], threads: 4 },
    { at: '9s', until: '11s', do: 'kill', gateways: ['g[78]'] },
    { at: '12s', do: 'limit', gateways: ['g6'], threads: 4 },
    { at: '50s', do: 'limit', gateways: ['*'], threads: 9 },
  ],
}
