// Two engines restart while a third of the gateways is cut off from the others, and one gateway is killed. All gateways together must send an
// engine that is warming up less work than what overloads it.
{
  name: 'cold-cut', gateways: 9, engines: 3, rate: 8, loads: 1, service: '200ms', warm: '6s', cold: true, term: '24s', length: '20s',
  steps: [
    { at: '2s', until: '14s', from: ['g[6-8]'], to: ['g[0-5]'], both: true, cut: true },
    { at: '3s', do: 'engine', engines: ['e-001'], be: 'restarts' },
    { at: '5s', until: '8s', do: 'kill', gateways: ['g4'] },
    { at: '11s', do: 'engine', engines: ['e-002'], be: 'restarts' },
  ],
}
