// Requests that wait, work per second and threads are limited for the whole cluster. Links lose and duplicate messages, engines of the pool
// leave and return, and three gateways are cut off.
{
  name: 'budget-work', gateways: 8, threads: 8, waiting: 24, work: '1s', term: '24s', loads: 0.6, rate: 6, length: '24s',
  steps: [
    { at: '1s', until: '12s', from: ['g*'], to: ['g*'], loss: 0.1, double: 0.2, spread: '50ms' },
    { at: '4s', until: '10s', do: 'engine', engines: ['e-00[1-3]'], be: 'gone' },
    { at: '13s', until: '17s', from: ['g[0-2]'], to: ['g[3-7]'], both: true, cut: true },
  ],
}
