import { RE2JS } from 're2js';
import { Fault, type Value } from '../values.js';
import { closed, ofStrings, wrong, type Named } from './define.js';
import { splitBy } from './strings.js';

const mostPattern = 2000;
const mostText = 64 * 1024;
/** A long pattern over a long text: each character of the one may have to look at all of the other. */
const workPerStep = 1000;

interface Pattern {
  compiled: RE2JS;
  /** All matches are replaced, not the first alone. */
  all: boolean;
  /** Only the replaced part is given back. */
  part: boolean;
}

/** Patterns without backtracking: time in proportion to pattern and text, whatever they are. */
function compile(pattern: string, options = ''): Pattern | Fault {
  if (pattern.length > mostPattern) return new Fault(`a pattern of more than ${mostPattern} characters`);
  let flags = 0;
  let source = pattern;
  for (const o of options.toLowerCase())
    if (o === 'i') flags |= RE2JS.CASE_INSENSITIVE;
    else if (o === 'm') flags |= RE2JS.MULTILINE;
    else if (o === 's') flags |= RE2JS.DOTALL;
    else if (o === 'x')
      source = source.replace(/\\#|\\\s|#[^\n]*|\s+/g, (m) => (m.startsWith('\\') ? m : ''));
    else if (o !== 'g' && o !== 'f') return new Fault(`no option ${o} of patterns`);
  try {
    const part = !options.toLowerCase().includes('f');
    return { compiled: RE2JS.compile(source, flags), all: options.toLowerCase().includes('g'), part };
  } catch (e) {
    return new Fault(`pattern: ${String((e as Error).message)}`);
  }
}

/** `\1` and `$1` in a substitute stand for groups. */
const filled = (substitute: string, group: (n: number) => string): string =>
  substitute.replace(/\\(\d)|\\\\/g, (m, n: string | undefined) => (n === undefined ? m : group(Number(n))));

function replaced(p: Pattern, text: string, substitute: string, all: boolean, whole: boolean): string {
  const m = p.compiled.matcher(text);
  let out = '';
  let from = 0;
  while (m.find()) {
    const put = filled(substitute, (n) => (n <= m.groupCount() ? (m.group(n) ?? '') : ''));
    out += (whole ? text.slice(from, m.start()) : '') + put;
    from = m.end();
    if (!all) break;
  }
  return whole ? out + text.slice(from) : out;
}

const checked = (text: string, pattern: string, spend: (n: number) => boolean): Fault | null =>
  text.length > mostText
    ? new Fault(`a text of more than ${mostText} characters`)
    : spend(Math.ceil((text.length * pattern.length) / workPerStep))
      ? null
      : new Fault('too much work for patterns');

const substitution = (name: string, whole: boolean, all: boolean): Named =>
  ofStrings(name, 3, 4, ([pattern, text, substitute, options], ev): Value => {
    const p = compile(pattern, options);
    if (p instanceof Fault) return p;
    const bad = checked(text, pattern, (n) => ev.spend(n));
    if (bad) return bad;
    const full = whole || !p.part;
    if (!p.compiled.matcher(text).find()) return full ? text : '';
    return replaced(p, text, substitute, all || p.all, full);
  });

export const patterns: Named[] = [
  ofStrings('regexp', 2, 3, ([pattern, text, options], ev): Value => {
    const p = compile(pattern, options);
    if (p instanceof Fault) return p;
    return checked(text, pattern, (n) => ev.spend(n)) ?? p.compiled.matcher(text).find();
  }),
  substitution('regexps', false, false),
  substitution('replace', true, false),
  substitution('replaceAll', true, true),
  closed('regexpMember', 2, 3, ([pattern, list, options], ev): Value => {
    if (typeof pattern !== 'string') return wrong('regexpMember', pattern);
    if (!Array.isArray(list)) return wrong('regexpMember', list);
    if (options !== undefined && typeof options !== 'string') return wrong('regexpMember', options);
    const p = compile(pattern, options);
    if (p instanceof Fault) return p;
    for (const v of list) {
      if (typeof v !== 'string') continue;
      const bad = checked(v, pattern, (n) => ev.spend(n));
      if (bad) return bad;
      if (p.compiled.matcher(v).find()) return true;
    }
    return false;
  }),
  ofStrings('stringList_regexpMember', 2, 4, ([pattern, list, delims, options], ev): Value => {
    const p = compile(pattern, options);
    if (p instanceof Fault) return p;
    const bad = checked(list, pattern, (n) => ev.spend(n));
    return bad ?? splitBy(list, delims ?? ' ,').some((w) => p.compiled.matcher(w.trim()).find());
  }),
];
