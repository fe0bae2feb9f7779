// Engines restart one after the other and are cold for a while: what they are sent by forty gateways together, with turns shared by messages
// and by number. magpiebank-testbed fleet run cold.
{
  name: 'cold', gateways: 40, engines: 8, rate: 2.5, loads: 1, service: '400ms', warm: '14s', cold: true, term: '24s', sharing: false, counts: false,
  length: '54s', settle: '30s',
  steps: [{ at: '%ds' % (4 + 16 * i), do: 'engine', engines: ['e-%03d' % (i + 1)], be: 'restarts' } for i in std.range(0, 2)],
}
