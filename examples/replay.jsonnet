// A recorded load. Make the trace first, for example:
//   bin/magpiebank-testbed trace import --form jsonl -o examples/small.trace examples/small.jsonl
// or with a gateway's own recording (magpiebank serve --capture FILE).
local lanes = import 'lanes.libsonnet';
{
  name: 'replay',
  seed: 1,
  lanes: [lanes.lookup, lanes.load],
  load: { kind: 'replay', trace: 'small.trace', speed: 1 },
  site: { gateways: 1, engines: 4, cores: 8, threads: 16 },
  bounds: { own: '5ms' },
}
