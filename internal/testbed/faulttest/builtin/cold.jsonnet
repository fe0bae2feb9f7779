// Engines restart one after the other and warm up for a while. Measures what forty gateways together send them, first if the gateways share
// slow-start quotas by messages, then if they take turns by their numbers. Run it with: magpiebank-testbed fleet run cold.
{
  name: 'cold', gateways: 40, engines: 8, rate: 2.5, loads: 1, service: '400ms', warm: '14s', cold: true, term: '24s', sharing: false, counts: false,
  length: '54s', settle: '30s',
  steps: [{ at: '%ds' % (4 + 16 * i), do: 'engine', engines: ['e-%03d' % (i + 1)], be: 'restarts' } for i in std.range(0, 2)],
}
