// The disk under one gateway's request journal is full, that of another one is slow, and on that of a third one no sync succeeds. The first two
// are killed and return with what has been stored.
{
  name: 'sick-disks', length: '14s', state: true,
  disks: [{ gateway: 'g1', be: 'full', after: '3s' }, { gateway: 'g2', be: 'slow', after: '2s' }, { gateway: 'g3', be: 'unsynced', after: '3s' }],
  steps: [
    { at: '6s', until: '7s', do: 'kill', gateways: ['g1', 'g2'], folder: 'same' },
    { at: '4s', until: '9s', do: 'engine', engines: ['e-001'], be: 'loses' },
  ],
}
