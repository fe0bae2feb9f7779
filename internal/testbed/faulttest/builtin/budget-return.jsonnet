// Six threads for all loads of nine gateways that keep folders by which their part passes on. Two are killed and come back at once, one with an
// older copy of its folder, one with none; one that came back is killed again and again; a name is doubled; keepers are killed, two at a time.
// All ask for more than there is.
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
