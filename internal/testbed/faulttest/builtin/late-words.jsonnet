// The messages of two gateways arrive four seconds late, duplicated and out of order, while engines fail and recover.
{
  name: 'late-words', length: '14s',
  steps: [
    { at: '2s', until: '9s', from: ['g0', 'g1'], to: ['g*'], delay: '4s', spread: '500ms', double: 0.5, reorder: 0.5 },
    { at: '3s', until: '6s', do: 'engine', engines: ['e-00[12]'], be: 'errs' },
    { at: '6s', until: '8s', do: 'engine', engines: ['e-003'], be: 'refuses' },
  ],
}
