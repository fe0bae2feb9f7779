// Like judgement, while a third of the gateways and the other two thirds are cut off from each other.
local judgement = import 'judgement.jsonnet';
judgement { name: 'judgement-cut', steps+: [
  { at: '1s', from: ['g[0-9]'], to: ['g[123][0-9]'], both: true, cut: true },
] }
