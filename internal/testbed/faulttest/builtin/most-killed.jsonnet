// Seven of ten gateways are killed at once and return without their state. Later another one returns with an older copy of its state.
{
  name: 'most-killed', gateways: 10, length: '12s', state: true,
  steps: [
    { at: '3s', until: '5s', do: 'kill', gateways: ['g[0-6]'], folder: 'none' },
    { at: '8s', until: '9s', do: 'kill', gateways: ['g8'], folder: 'older' },
  ],
}
