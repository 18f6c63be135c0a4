import strftime from 'strftime';
import { Fault, int, numeric } from '../values.js';
import { closed, wrong, type FunctionSpec, type Named } from './define.js';

const daysText = (total: bigint): string => {
  const [s, m, h, d] = [total % 60n, (total / 60n) % 60n, (total / 3600n) % 24n, total / 86_400n];
  const two = (n: bigint): string => String(n).padStart(2, '0');
  if (d > 0n) return `${d}+${two(h)}:${two(m)}:${two(s)}`;
  if (h > 0n) return `${h}:${two(m)}:${two(s)}`;
  return `${m}:${two(s)}`;
};

const now: FunctionSpec = { least: 0, most: 0, varies: true, call: (_, __, ev) => int(ev.around.nowS) };

export const time: Named[] = [
  ['time', now],
  [
    'formatTime',
    {
      least: 0,
      most: 2,
      varies: true,
      call: (args, f, ev) => {
        const at = args.length > 0 ? ev.run(args[0], f) : int(ev.around.nowS);
        const format = args.length > 1 ? ev.run(args[1], f) : '%c';
        if (at === undefined || at instanceof Fault) return at;
        if (format === undefined || format instanceof Fault) return format;
        const s = numeric(at);
        if (s === null) return wrong('formatTime', at);
        if (typeof format !== 'string') return wrong('formatTime', format);
        const date = new Date(Number(s) * 1000);
        return Number.isNaN(date.getTime()) ? new Fault('no such time') : strftime(format, date);
      },
    },
  ],
  closed('interval', 1, 1, ([v]) => {
    const n = numeric(v);
    if (n === null || !Number.isFinite(Number(n))) return wrong('interval', v);
    const total = int(n);
    return total < 0n ? `-${daysText(-total)}` : daysText(total);
  }),
];
