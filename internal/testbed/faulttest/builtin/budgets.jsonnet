// Measures how well a total is used with different ways of sharing it. The demand is even, then distributed by Zipf's law, then nine tenths of
// it are at one gateway, another one every 5 s. Then a third of the gateways is cut off, and connected again. It runs with each way of
// sharing, one after the other: magpiebank-testbed fleet run budgets.
local n = 32, total = 64, service = 0.4;
local demand = 1.4 * total / service;  // requests per second
local calm = 1.5;  // requests per second at each gateway; together three tenths of what the total allows
local harmonic = std.foldl(function(sum, k) sum + 1 / (k + 1), std.range(0, n - 1), 0);
local surge(from, to, gateways, rate) = { at: '%ds' % from, until: '%ds' % to, do: 'surge', gateways: gateways, more: std.max(0, rate - calm) };
{
  name: 'budgets', gateways: n, engines: 12, threads: total, term: '24s', loads: 1, service: '%dms' % (1000 * service), rate: calm, sharing: false, counts: false,
  length: '95s', settle: '30s',
  steps: [surge(10, 22, ['g*'], demand / n)] +
         [surge(22, 34, ['g%d' % k], demand / harmonic / (k + 1)) for k in std.range(0, n - 1)] +
         [surge(34 + 5 * k, 39 + 5 * k, ['g%d' % ((7 + 13 * k) % n)], 0.9 * demand) for k in std.range(0, 3)] +
         [
           surge(54, 95, ['g*'], demand / n),
           { at: '62s', until: '82s', from: ['g2[1-9]', 'g3[01]'], to: ['g[0-9]', 'g1?', 'g20'], both: true, cut: true },
         ],
  phases: [
    { name: 'calm', at: '2s', until: '10s' },
    { name: 'even', at: '13s', until: '22s' },
    { name: 'Zipf', at: '25s', until: '34s' },
    { name: 'moving', at: '34s', until: '54s' },
    { name: 'a third cut off', at: '65s', until: '79s', part: ['g2[1-9]', 'g3[01]'] },
    { name: '3 s after', at: '85s', until: '95s' },
  ],
}
