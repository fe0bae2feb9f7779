// All gateways leave and return within nine seconds, one after the other. Then three are killed at once. What they held must be used again.
{
  name: 'budget-restarts', gateways: 9, threads: 9, term: '24s', loads: 0.6, rate: 5, length: '24s',
  steps: [
    { at: '%dms' % (2000 + 900 * i), until: '%dms' % (3600 + 900 * i), do: 'leave', gateways: ['g%d' % i] }
    for i in std.range(0, 8)
  ] + [
    { at: '15s', until: '16s', do: 'kill', gateways: ['g[3-5]'], folder: 'none' },
  ],
}
