// Nine tenths of the demand are at one of ten gateways, at another one every five seconds. Three gateways are cut off from the others for
// six seconds.
{
  name: 'budget-moving', gateways: 10, threads: 10, term: '24s', loads: 0.8, rate: 1, length: '26s',
  steps: [
    { at: '%ds' % (1 + 5 * i), until: '%ds' % (6 + 5 * i), do: 'surge', gateways: ['g%d' % (3 * i % 10)], more: 90 }
    for i in std.range(0, 4)
  ] + [
    { at: '8s', until: '14s', from: ['g[7-9]'], to: ['g[0-6]'], both: true, cut: true },
  ],
}
