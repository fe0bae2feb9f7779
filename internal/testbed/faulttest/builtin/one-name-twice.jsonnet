// A second process starts with the name of a running gateway, and another one with the name of a stopped gateway.
{
  name: 'one-name-twice', length: '16s',
  steps: [
    { at: '2s', do: 'twin', gateways: ['g3'] },
    { at: '4s', until: '12s', do: 'stop', gateways: ['g5'] },
    { at: '6s', do: 'twin', gateways: ['g5'] },
    { at: '3s', until: '12s', do: 'engine', engines: ['e-002'], be: 'errs' },
  ],
  expect: [{ displaced: 2 }],
}
