// Two stopped gateways resume and read all messages of the meantime at once. Some come from restarted gateways that they did not know before.
// What those observed seconds ago must not count as fresh.
{
  name: 'woken', length: '11s', threads: 13, term: '12s', longest: '2s', loads: 0.6,
  steps: [
    { at: '1.2s', until: '3.5s', do: 'kill', gateways: ['g1', 'g5'], folder: 'none' },
    { at: '3.2s', until: '5.6s', from: ['g1', 'g5'], to: ['*'], cut: true },
    { at: '5.5s', until: '7.8s', do: 'stop', gateways: ['g0', 'g6'] },
  ],
}
