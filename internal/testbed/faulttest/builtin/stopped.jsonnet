// Two gateways stand still, one of them for long, and wake with evidence that they may think is fresh; an engine errs meanwhile.
{
  name: 'stopped', length: '26s',
  steps: [
    { at: '1s', until: '22s', do: 'engine', engines: ['e-003'], be: 'errs' },
    { at: '3s', until: '23s', do: 'stop', gateways: ['g2'] },
    { at: '4s', until: '7s', do: 'stop', gateways: ['g5'] },
  ],
}
