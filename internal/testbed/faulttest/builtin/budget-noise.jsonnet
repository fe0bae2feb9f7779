// The loads of ten gateways may use three threads, which is less than one each. Links lose, duplicate, delay and reorder messages, clocks run
// too fast or too slow or jump, and seven gateways are killed at once.
{
  name: 'budget-noise', gateways: 10, threads: 3, term: '24s', loads: 0.5, rate: 4, length: '24s',
  clocks: [{ gateway: 'g4', rate: 1.02 }, { gateway: 'g5', rate: 0.98 }, { gateway: 'g6', jump: '-60s', after: '40s' }],
  steps: [
    { at: '1s', until: '20s', from: ['g*'], to: ['g*'], loss: 0.1, double: 0.3, reorder: 0.3, delay: '10ms', spread: '200ms' },
    { at: '12s', until: '14s', do: 'kill', gateways: ['g[3-9]'], folder: 'none' },
  ],
}
