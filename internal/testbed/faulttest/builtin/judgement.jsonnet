// Engines become faulty one after the other, each in another way. Measures how long it takes until the gateways stop sending requests to them,
// and what is served meanwhile. It runs with and without shared health reports at the same time: magpiebank-testbed fleet run judgement.
local bad = ['errs', 'loses', 'silent', 'refuses', 'slow'];
{
  name: 'judgement', gateways: 32, engines: 12, rate: 1.3, length: '%ds' % (3 + 30 * std.length(bad)), settle: '30s', counts: false,
  steps: [
    { at: '%ds' % (3 + 30 * i), until: '%ds' % (23 + 30 * i), do: 'engine', engines: ['e-%03d' % (i + 1)], be: bad[i] }
    for i in std.range(0, std.length(bad) - 1)
  ],
}
