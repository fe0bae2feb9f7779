// A process takes the place of a killed one on a machine whose wall clock is an hour behind, and another doubles a living one from there:
// each has to find a later start than its predecessor's, and has its part of the budget after it. A slow link carries 3 kB a second.
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
