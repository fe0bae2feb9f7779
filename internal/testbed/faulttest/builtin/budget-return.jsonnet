// All loads of nine gateways may use six threads, and the demand is higher. The gateways have folders from which a new process takes over its
// predecessor's share. Several gateways are killed and return at once, one with an older copy of its folder and one without a folder. One is
// killed again and again, a second process starts with the name of another, one is stopped for some seconds, and replicas of the quotas
// are killed, two at a time.
{
  name: 'budget-return', gateways: 9, threads: 6, term: '24s', loads: 0.7, rate: 8, length: '40s', state: true,
  steps: [
    { at: '1s', do: 'keep', gateways: ['g5'] },
    { at: '2s', until: '2500ms', do: 'kill', gateways: ['g3', 'g4'] },
    { at: '2s', until: '2500ms', do: 'kill', gateways: ['g5'], folder: 'older' },
    { at: '2s', until: '2500ms', do: 'kill', gateways: ['g6'], folder: 'none' },
  ] + [{ at: '%dms' % (4000 + 700 * k), until: '%dms' % (4300 + 700 * k), do: 'kill', gateways: ['g3'] } for k in std.range(0, 5)] + [
    { at: '10s', do: 'twin', gateways: ['g7'] },
    { at: '13s', until: '18s', do: 'stop', gateways: ['g4'] },
    { at: '20s', until: '21s', do: 'kill', gateways: ['g0', 'g8'] },
    { at: '32s', until: '33s', do: 'kill', gateways: ['g[12]'] },
  ],
}
