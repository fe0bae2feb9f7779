// Like judgement, while one gateway cannot reach any engine, reports failures of all of them, and loses half of its datagrams.
local judgement = import 'judgement.jsonnet';
judgement { name: 'judgement-lying', steps+: [
  { at: '1s', from: ['g5'], to: ['e-*'], refuse: true },
  { at: '1s', from: ['g5'], to: ['g*'], both: true, loss: 0.5 },
] }
