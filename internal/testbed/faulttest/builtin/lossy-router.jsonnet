// The network of one gateway loses half of all its datagrams and breaks its connections to every engine: it accuses them all.
{
  name: 'lossy-router', length: '12s',
  steps: [
    { at: '1s', until: '10s', from: ['g0'], to: ['g*'], both: true, loss: 0.5 },
    { at: '2s', until: '4s', from: ['g0'], to: ['e-*'], refuse: true },
    { at: '5s', until: '8s', from: ['g0'], to: ['e-*'], refuse: true },
  ],
  expect: [{ served: 0.85 }],
}
