// A hundred policy changes for the loads of 32 gateways: with all gateways connected, with a third of them cut off, and under random faults.
// It runs with a policy rollout, and then with the same changes in files that gateways read at SIGHUP, one gateway after the other:
// magpiebank-testbed fleet run policy.
local n = 32, seed = 1;
local chance(k, what) = std.parseHex(std.substr(std.md5('%d %s %d' % [seed, what, k]), 0, 6)) / 16777216;
local pick(k, what, of) = std.floor(chance(k, what) * of);
local one(k, what) = 'g%d' % pick(k, what, n);
local change(at, k, by) = { at: '%dms' % (1000 * at), do: 'propose', gateways: [by], threads: 48 + k % 32, size: '%dB' % (3 * k + 3) };
local fault(at, k) =
  local until = at + 1 + 5 * chance(k, 'length'), kind = pick(k, 'kind', 7);
  { at: '%dms' % (1000 * at), until: '%dms' % (1000 * until) } +
  if kind == 0 then { from: [one(k, 'a'), one(k, 'b'), one(k, 'c')], to: ['g*'], both: true, cut: true }
  else if kind == 1 then { from: [one(k, 'a'), one(k, 'b')], to: ['g*'], cut: true }
  else if kind == 2 then { from: ['g*'], to: [one(k, 'a'), one(k, 'b')], cut: true }
  else if kind == 3 then { do: 'kill', gateways: [one(k, 'a'), one(k, 'b')], folder: if chance(k, 'folder') < 0.2 then 'none' else 'same' }
  else if kind == 4 then { do: 'stop', gateways: [one(k, 'a')] }
  else if kind == 5 then { from: ['g*'], to: ['g*'], both: true, loss: 0.3 * chance(k, 'loss'), double: 0.2, delay: '5ms', spread: '40ms' }
  else { from: ['g%d' % (3 * i + pick(k, 'third', 3)) for i in std.range(0, 9)], to: ['g*'], both: true, cut: true };
{
  name: 'policy', gateways: n, engines: 12, threads: 64, term: '24s', loads: 0.5, service: '200ms', rate: 6, sharing: false, counts: false, length: '240s', settle: '40s',
  policy: { voters: 5, lease: '2s' },
  steps: [change(12 + 0.5 * k, k, one(k, 'by')) for k in std.range(0, 19)] +
         [{ at: '26s', until: '62s', from: ['g%d' % (6 + k) for k in std.range(0, 9)], to: ['g[0-5]', 'g1[6-9]', 'g2*', 'g3*'], both: true, cut: true }] +
         [change(27 + 3.5 * k, 20 + k, 'g%d' % (16 + k)) for k in std.range(0, 9)] +
         [fault(66 + 3 * k, k) for k in std.range(0, 54)] +
         [change(66 + 2.4 * k, 30 + k, one(k, 'by')) for k in std.range(0, 69)],
  phases: [
    { name: 'no change', at: '1s', until: '11s' },
    { name: 'all connected', at: '12s', until: '22s' },
    { name: 'a third silent', at: '26s', until: '62s' },
    { name: 'drawn faults', at: '66s', until: '234s' },
  ],
}
