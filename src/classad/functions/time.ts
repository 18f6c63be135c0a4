/** Functions on times and durations. */
import strftime from 'strftime';
import { ErrorValue, toInt64, toNumber } from '../values.js';
import { strictFunction, typeError, type FunctionSpec, type NamedFunction } from './define.js';

/** Formats a duration in seconds as `d+hh:mm:ss`, `h:mm:ss` or `m:ss`, whichever is the shortest that holds it. */
const formatDuration = (total: bigint): string => {
  const [s, m, h, d] = [total % 60n, (total / 60n) % 60n, (total / 3600n) % 24n, total / 86_400n];
  const twoDigits = (n: bigint): string => String(n).padStart(2, '0');
  if (d > 0n) return `${d}+${twoDigits(h)}:${twoDigits(m)}:${twoDigits(s)}`;
  if (h > 0n) return `${h}:${twoDigits(m)}:${twoDigits(s)}`;
  return `${m}:${twoDigits(s)}`;
};

const now: FunctionSpec = {
  minArgs: 0,
  maxArgs: 0,
  nonDeterministic: true,
  call: (_, __, evaluator) => toInt64(evaluator.context.nowS),
};

/** The functions that this module defines. */
export const timeFunctions: readonly NamedFunction[] = [
  ['time', now],
  [
    'formatTime',
    {
      minArgs: 0,
      maxArgs: 2,
      nonDeterministic: true,
      call: (args, scope, evaluator) => {
        const at = args.length > 0 ? evaluator.run(args[0], scope) : toInt64(evaluator.context.nowS);
        const format = args.length > 1 ? evaluator.run(args[1], scope) : '%c';
        if (at === undefined || at instanceof ErrorValue) return at;
        if (format === undefined || format instanceof ErrorValue) return format;
        const seconds = toNumber(at);
        if (seconds === null) return typeError('formatTime', at);
        if (typeof format !== 'string') return typeError('formatTime', format);
        const date = new Date(Number(seconds) * 1000);
        return Number.isNaN(date.getTime())
          ? new ErrorValue('formatTime: the time is out of range')
          : strftime(format, date);
      },
    },
  ],
  strictFunction('interval', 1, 1, ([v]) => {
    const n = toNumber(v);
    if (n === null || !Number.isFinite(Number(n))) return typeError('interval', v);
    const total = toInt64(n);
    return total < 0n ? `-${formatDuration(-total)}` : formatDuration(total);
  }),
];
