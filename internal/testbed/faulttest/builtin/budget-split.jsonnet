// All loads of nine gateways may use six threads, and the demand is higher. The cluster splits into three parts, one of them a single gateway.
// After that it splits in another way. A gateway that lends threads is killed, another one is stopped for longer than a loan lasts, and a second
// process starts with the name of a third one.
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
