// All start at once with seeds that are down; one of them comes up, later the other, and gateways leave and return.
{
  name: 'seeds-down', length: '14s', down: ['g0', 'g1'],
  steps: [
    { at: '3s', do: 'start', gateways: ['g1'] },
    { at: '6s', do: 'start', gateways: ['g0'] },
    { at: '7s', until: '10s', do: 'leave', gateways: ['g1', 'g4'] },
  ],
}
