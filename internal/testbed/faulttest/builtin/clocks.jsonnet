// One clock runs a twentieth too fast, one a twentieth too slow, and one is set back by a minute. Engines fail and recover.
{
  name: 'clocks', length: '16s',
  clocks: [{ gateway: 'g1', rate: 1.05 }, { gateway: 'g2', rate: 0.95 }, { gateway: 'g3', jump: '-60s', after: '6s' }],
  steps: [
    { at: '2s', until: '12s', do: 'engine', engines: ['e-001'], be: 'errs' },
    { at: '5s', until: '9s', do: 'engine', engines: ['e-002'], be: 'loses' },
  ],
}
