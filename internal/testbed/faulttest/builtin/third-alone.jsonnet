// A third of the gateways is cut off from the others and from all engines; the list is out of reach for them as well.
{
  name: 'third-alone', gateways: 9, length: '14s',
  steps: [
    { at: '2s', until: '10s', from: ['g0', 'g1', 'g2'], to: ['g[3-8]', 'e-*', 'list'], both: true, cut: true },
  ],
  expect: [{ served: 0.6 }],
}
