// For some seconds, the messages of three of eight gateways on quotas arrive a minute late, half of them twice. Some of the receivers, and
// one of the senders, have restarted with the same name in the meantime.
{
  name: 'budget-late', gateways: 8, threads: 6, term: '24s', loads: 0.6, rate: 5, length: '72s',
  steps: [
    { at: '2s', until: '8s', from: ['g1', 'g2', 'g3'], to: ['g*'], delay: '60s', spread: '1s', double: 0.5 },
    { at: '10s', until: '12s', do: 'kill', gateways: ['g1', 'g4', 'g5'], folder: 'none' },
  ],
}
