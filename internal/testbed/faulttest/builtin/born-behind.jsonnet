// A second process takes over the name of a killed gateway, and another one takes over the name of a running gateway. The wall clock of both
// is an hour behind. Each must get a later incarnation than its predecessor, and then its share of the quota. A slow link carries only
// 3 kB per second.
{
  name: 'born-behind', gateways: 8, length: '34s', threads: 8, term: '24s', loads: 0.4, rate: 4,
  clocks: [{ gateway: 'g8', born: '-1h' }, { gateway: 'g9', born: '-1h' }],
  steps: [
    { at: '1s', until: '30s', from: ['g5'], to: ['g[0-4]'], rate: '3kB' },
    { at: '2s', do: 'kill', gateways: ['g6'] },
    { at: '3s', do: 'twin', gateways: ['g6'] },
    { at: '4s', do: 'twin', gateways: ['g4'] },
  ],
  expect: [{ displaced: 1 }],
}
