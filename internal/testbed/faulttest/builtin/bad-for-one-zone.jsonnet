// Half of the gateways cannot reach one engine, and for some seconds get no answers from a second one. For the other gateways both work.
{
  name: 'bad-for-one-zone', length: '12s',
  steps: [
    { at: '1s', until: '10s', from: ['g[0-3]'], to: ['e-001'], refuse: true },
    { at: '4s', until: '10s', from: ['e-002'], to: ['g[0-3]'], cut: true },
  ],
  expect: [{ served: 0.85 }],
}
