// All gateways start at once while both seeds are down. First one seed starts, later the other one, and gateways leave and return.
{
  name: 'seeds-down', length: '14s', down: ['g0', 'g1'],
  steps: [
    { at: '3s', do: 'start', gateways: ['g1'] },
    { at: '6s', do: 'start', gateways: ['g0'] },
    { at: '7s', until: '10s', do: 'leave', gateways: ['g1', 'g4'] },
  ],
}
