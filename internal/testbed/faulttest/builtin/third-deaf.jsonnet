// A third of the gateways receives no messages from the others, first with only this direction cut, then both, while an engine is faulty.
{
  name: 'third-deaf', gateways: 9, length: '20s',
  steps: [
    { at: '1s', until: '9s', from: ['g*'], to: ['g0', 'g1', 'g2'], cut: true },
    { at: '2s', until: '8s', do: 'engine', engines: ['e-001'], be: 'errs' },
    { at: '10s', until: '19s', from: ['g[3-8]'], to: ['g0', 'g1', 'g2'], both: true, cut: true },
    { at: '11s', until: '18s', do: 'engine', engines: ['e-002'], be: 'silent' },
  ],
  expect: [{ served: 0.85 }],
}
