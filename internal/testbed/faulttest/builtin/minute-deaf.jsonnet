// Five of fifteen gateways receive no messages for a minute. In the first half they can still send, in the second half they are cut off from the
// others in both directions. Engines become faulty meanwhile. It is too long for the tests: magpiebank-testbed fleet run minute-deaf.
{
  name: 'minute-deaf', gateways: 15, length: '66s', rate: 2,
  steps: [
    { at: '2s', until: '32s', from: ['g*'], to: ['g[0-4]'], cut: true },
    { at: '32s', until: '62s', from: ['g[5-9]', 'g1?'], to: ['g[0-4]'], both: true, cut: true },
    { at: '10s', until: '25s', do: 'engine', engines: ['e-001'], be: 'errs' },
    { at: '40s', until: '55s', do: 'engine', engines: ['e-002'], be: 'loses' },
  ],
  expect: [{ served: 0.85 }],
}
