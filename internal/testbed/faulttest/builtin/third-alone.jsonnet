// A third of the gateways is cut off from the others, from all engines and from the discovery service.
{
  name: 'third-alone', gateways: 9, length: '14s',
  steps: [
    { at: '2s', until: '10s', from: ['g0', 'g1', 'g2'], to: ['g[3-8]', 'e-*', 'list'], both: true, cut: true },
  ],
  expect: [{ served: 0.6 }],
}
