// Lanes that the examples share. Every field but the name may be left out.
{
  lookup: {
    name: 'lookup',
    share: 9,  // of all tasks, against the other lanes' shares
    groups: 8,  // of tables, drawn by Zipf's law
    zipf: 0.8,
    quoted: '1s',  // the quoted time
    patience: '5s',  // how long clients wait at the most
    service: { kind: 'lognormal', mean: '40ms', cv: 1 },  // on a stand-in engine
    statements: ["SELECT dia, count(*), max(nota) FROM actas_{group}.mesas WHERE clave = '{literal}' GROUP BY dia"],
  },
  load: {
    name: 'load',
    share: 1,
    groups: 8,
    quoted: '4s',
    patience: '20s',
    effect: 'unrepeatable',  // never run twice, whatever happens
    threads: 2,
    service: { kind: 'lognormal', mean: '400ms', cv: 0.6 },
    statements: ['INSERT INTO actas_{group}.mesas SELECT * FROM staging.lote_{literal}'],
  },
}
