// An engine returns errors, restarts twice within a second, and restarts once more, while reports about its earlier starts are still on their way.
{
  name: 'engine-restarts', length: '14s',
  steps: [
    { at: '500ms', until: '13s', from: ['g*'], to: ['g*'], delay: '100ms', spread: '300ms', double: 0.3, reorder: 0.3 },
    { at: '1s', until: '3s', do: 'engine', engines: ['e-001'], be: 'errs' },
    { at: '3100ms', do: 'engine', engines: ['e-001'], be: 'restarts' },
    { at: '3600ms', do: 'engine', engines: ['e-001'], be: 'restarts' },
    { at: '5s', until: '8s', do: 'engine', engines: ['e-001'], be: 'loses' },
    { at: '7s', do: 'engine', engines: ['e-001'], be: 'restarts' },
  ],
}
