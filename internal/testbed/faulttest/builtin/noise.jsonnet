// Every link between gateways loses, duplicates, delays, reorders and corrupts messages, while engines become faulty one after the other.
{
  name: 'noise', length: '14s',
  steps: [
    { at: '1s', until: '12s', from: ['g*'], to: ['g*'], loss: 0.2, double: 0.2, reorder: 0.2, flip: 0.1, delay: '5ms', spread: '40ms' },
    { at: '2s', until: '5s', do: 'engine', engines: ['e-001'], be: 'errs' },
    { at: '4s', until: '8s', do: 'engine', engines: ['e-002'], be: 'loses' },
    { at: '6s', until: '10s', do: 'engine', engines: ['e-003'], be: 'refuses' },
  ],
  expect: [{ served: 0.85 }],
}
