// Two gateways are stopped, one of them for 20 s, and resume with old reports that they may consider fresh. An engine returns errors meanwhile.
{
  name: 'stopped', length: '26s',
  steps: [
    { at: '1s', until: '22s', do: 'engine', engines: ['e-003'], be: 'errs' },
    { at: '3s', until: '23s', do: 'stop', gateways: ['g2'] },
    { at: '4s', until: '7s', do: 'stop', gateways: ['g5'] },
  ],
}
