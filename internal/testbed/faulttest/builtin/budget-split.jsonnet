// Six threads for all loads of nine gateways. The fleet falls into three parts, one of them a single gateway, and heals the other way
// round; a lender dies, another stands still for longer than a loan, a name is doubled. All ask for more than there is.
{
  name: 'budget-split', gateways: 9, threads: 6, term: '24s', loads: 0.7, rate: 8, length: '30s',
  steps: [
    { at: '4s', until: '12s', from: ['g[0-4]'], to: ['g[5-8]'], both: true, cut: true },
    { at: '4s', until: '14s', from: ['g8'], to: ['g*'], both: true, cut: true },
    { at: '12s', until: '18s', from: ['g[0-2]'], to: ['g[3-7]'], cut: true },
    { at: '16s', until: '18s', do: 'kill', gateways: ['g3'], folder: 'none' },
    { at: '8s', until: '22s', do: 'stop', gateways: ['g4'] },
    { at: '19s', do: 'twin', gateways: ['g6'] },
  ],
}
