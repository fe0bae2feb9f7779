// The links between one gateway and the others lose half of the datagrams, and twice the gateway cannot connect to any engine for
// some seconds. So it reports failures of all engines.
{
  name: 'lossy-router', length: '12s',
  steps: [
    { at: '1s', until: '10s', from: ['g0'], to: ['g*'], both: true, loss: 0.5 },
    { at: '2s', until: '4s', from: ['g0'], to: ['e-*'], refuse: true },
    { at: '5s', until: '8s', from: ['g0'], to: ['e-*'], refuse: true },
  ],
  expect: [{ served: 0.85 }],
}
