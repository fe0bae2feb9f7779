// Engines turn bad one after the other, each in its own way: how long until the gateways send nothing there, and what is served
// meanwhile. Played with sharing and without side by side: magpiebank-testbed fleet run judgement.
local bad = ['errs', 'loses', 'silent', 'refuses', 'slow'];
{
  name: 'judgement', gateways: 32, engines: 12, rate: 1.3, length: '%ds' % (3 + 30 * std.length(bad)), settle: '30s', counts: false,
  steps: [
    { at: '%ds' % (3 + 30 * i), until: '%ds' % (23 + 30 * i), do: 'engine', engines: ['e-%03d' % (i + 1)], be: bad[i] }
    for i in std.range(0, std.length(bad) - 1)
  ],
}
