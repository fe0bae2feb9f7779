// One of six engines returns errors for eight seconds, and all else works. The gateways must stop using it within four seconds.
{
  name: 'bad-engine', gateways: 12, length: '14s', rate: 6,
  steps: [{ at: '4s', until: '12s', do: 'engine', engines: ['e-004'], be: 'errs' }],
  expect: [{ engine: 'e-004', within: '4s', served: 0.9 }],
}
