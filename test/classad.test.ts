/** Tests of the ClassAd language: parsing, evaluation, functions, printing and partial evaluation. */
import assert from 'node:assert/strict';
import { test } from 'node:test';
import fc from 'fast-check';
import {
  ClassAd,
  referencedAttributes,
  ClassAdError,
  evaluate,
  Evaluation,
  matchScopes,
  literal,
  parseAd,
  parseExpr,
  partiallyEvaluate,
  printAd,
  printExpr,
  printValue,
  type Expr,
  type Value,
} from '../src/classad/index.js';
import { unary } from '../src/classad/expr.js';
import { ErrorValue } from '../src/classad/values.js';

const evaluateToText = (text: string, my = '[]', target?: string): string =>
  printValue(evaluate(parseExpr(text), parseAd(my), target === undefined ? null : parseAd(target)));

const tables: Record<string, [string, string][]> = {
  'three-valued logic': [
    ['true && undefined', 'undefined'],
    ['false && undefined', 'false'],
    ['undefined && false', 'false'],
    ['undefined || true', 'true'],
    ['undefined || false', 'undefined'],
    ['undefined && error', 'error'],
    ['false && error', 'false'],
    ['true || error', 'true'],
    ['error || true', 'error'],
    ['!undefined', 'undefined'],
    ['!error', 'error'],
    ['1 && 0.0', 'false'],
    ['"x" && true', 'error'],
    ['undefined == undefined', 'undefined'],
    ['undefined =?= undefined', 'true'],
    ['undefined is error', 'false'],
    ['error isnt error', 'false'],
    ['1 =?= 1.0', 'false'],
    ['1 == 1.0', 'true'],
    ['"ABC" == "abc"', 'true'],
    ['"ABC" =?= "abc"', 'false'],
    ['"a" == 1', 'error'],
    ['"a" =!= 1', 'true'],
    ['undefined ? 1 : 2', 'undefined'],
    ['undefined ?: 2', '2'],
    ['3 ?: 2', '3'],
    ['error ?: 2', 'error'],
    ['true ? 1 : error', '1'],
    ['"x" ? 1 : 2', 'error'],
  ],
  'numbers and precedence': [
    ['1 + 2 * 3', '7'],
    ['(1 + 2) * 3', '9'],
    ['7 / 2', '3'],
    ['-7 / 2', '-3'],
    ['-7 % 3', '-1'],
    ['7 / 2.0', '3.5'],
    ['1 / 0', 'error'],
    ['1.0 / 0', 'error'],
    ['true + 1', '2'],
    ['(2 > 1) * 10', '10'],
    ['9223372036854775807 + 1', '-9223372036854775808'],
    ['0x1F', '31'],
    ['010', '8'],
    ['1e3', '1000.0'],
    ['.5', '0.5'],
    ['1 << 4 | 1', '17'],
    ['-1 >>> 60', '15'],
    ['-16 >> 2', '-4'],
    ['1 << 64', 'error'],
    ['~5', '-6'],
    ['5 & 3 ^ 8', '9'],
    ['1 < 2 == true', 'true'],
    ['2 + undefined', 'undefined'],
    ['undefined + error', 'error'],
    ['"a" + 1', 'error'],
    ['- - 3', '3'],
    ['1 /* one */ + // two\n 1', '2'],
  ],
  'strings, lists, records': [
    ['"a\\tb\\"\\\\\\101"', '"a\\tb\\"\\\\A"'],
    ['{1, 2, 3}[1]', '2'],
    ['{1}[5]', 'undefined'],
    ['{1}["a"]', 'error'],
    ['[a = 1; b = a + 1].b', '2'],
    ['[a = 1]["A"]', '1'],
    ['[a = 1].c', 'undefined'],
    ['[a = 1; b = [c = a + 1]].b.c', '2'],
    ['(3).a', 'error'],
    ['undefined.a', 'undefined'],
    ['{1, "a"} =?= {1, "a"}', 'true'],
    ['{1} == {1}', 'error'],
    ["['a b' = 4].'a b'", '4'],
  ],
  functions: [
    ['ifThenElse(undefined, 1, 2)', 'undefined'],
    ['ifThenElse(1, 1, error)', '1'],
    ['isUndefined(nope)', 'true'],
    ['isError(1/0)', 'true'],
    ['member("B", {"a", "b"})', 'true'],
    ['identicalMember("B", {"a", "b"})', 'false'],
    ['anyCompare(">", {1, 5}, 4)', 'true'],
    ['allCompare("<", {1, 5}, 4)', 'false'],
    ['int("12")', '12'],
    ['int(2.9)', '2'],
    ['int("x")', 'error'],
    ['real(2)', '2.0'],
    ['string(1.5)', '"1.5"'],
    ['floor(-1.5)', '-2'],
    ['ceiling(1.2)', '2'],
    ['round(2.5)', '2'],
    ['pow(2, 10)', '1024'],
    ['pow(2, -1)', '0.5'],
    ['quantize(7, 4)', '8'],
    ['quantize(3, {2, 4, 8})', '4'],
    ['sum({1, 2, 3.5})', '6.5'],
    ['avg({1, 2})', '1.5'],
    ['min({})', 'undefined'],
    ['max({3, 1})', '3'],
    ['strcat("a", 1, true)', '"a1true"'],
    ['join(",", {"a", 2})', '"a,2"'],
    ['join("-", 1, 2)', '"1-2"'],
    ['split("a, b c")', '{ "a", "b", "c" }'],
    ['substr("hello", 1, 3)', '"ell"'],
    ['substr("hello", -3)', '"llo"'],
    ['substr("hello", 1, -1)', '"ell"'],
    ['strcmp("a", "B") > 0', 'true'],
    ['stricmp("a", "A")', '0'],
    ['toUpper("ab")', '"AB"'],
    ['size("abc") + size({1})', '4'],
    ['splitUserName("ann@farm")', '{ "ann", "farm" }'],
    ['splitSlotName("slot1@m")', '{ "slot1", "m" }'],
    ['splitSlotName("m")', '{ "", "m" }'],
    ['versionGT("8.10.0", "8.9.2")', 'true'],
    ['version_in_range("2.1", "2", "3")', 'true'],
    ['regexp("^a.c$", "ABC", "i")', 'true'],
    ['regexp("a", undefined)', 'undefined'],
    ['regexp("(", "a")', 'error'],
    ['regexps("(a+)(b)", "xaab", "\\\\2-\\\\1")', '"b-aa"'],
    ['replace("a", "banana", "o")', '"bonana"'],
    ['replaceAll("a", "banana", "o")', '"bonono"'],
    ['regexpMember("^b", {"ab", "ba"})', 'true'],
    ['stringListSize("a, b")', '2'],
    ['stringListSum("1,2")', '3'],
    ['stringListAvg("1,2")', '1.5'],
    ['stringListMax("1;2", ";")', '2'],
    ['stringListMember("B", "a,b")', 'false'],
    ['stringListIMember("B", "a,b")', 'true'],
    ['stringListSubsetMatch("a", "a,b")', 'true'],
    ['stringListsIntersect("a,c", "b,c")', 'true'],
    ['stringList_regexpMember("^b", "ab ba")', 'true'],
    ['interval(90061)', '"1+01:01:01"'],
    ['formatTime(0, "%Y")', '"1970"'],
    ['eval("1 + 1")', '2'],
    ['eval("1 +")', 'error'],
    ['unparse(1 + x)', '"1 + x"'],
    ['evalInEachContext(a, {[a = 1], [a = 2]})', '{ 1, 2 }'],
    ['countMatches(a > 1, {[a = 1], [a = 2]})', '1'],
    ['noSuchFunction(1)', 'error'],
    ['size()', 'error'],
  ],
};

for (const [name, rows] of Object.entries(tables))
  test(`classad: ${name}`, () => {
    for (const [text, want] of rows) assert.equal(evaluateToText(text), want, text);
  });

test('classad: resolves MY, TARGET and nested scopes case-insensitively, and detects circular references', () => {
  const my = '[Memory = 100; Want = TARGET.Memory >= MY.Memory; A = B; B = A; x = 1; in = [y = x]]';
  const target = '[memory = 200; OnlyHere = MY.Memory + 1; Sees = x]';
  assert.equal(evaluateToText('Want', my, target), 'true');
  assert.equal(evaluateToText('MEMORY', my, target), '100');
  assert.equal(evaluateToText('OnlyHere', my, target), '201');
  assert.equal(evaluateToText('TARGET.Sees', my, target), '1');
  assert.equal(evaluateToText('MY.OnlyHere', my, target), 'undefined');
  assert.equal(evaluateToText('in.y', my, target), '1');
  assert.equal(evaluateToText('Want', my), 'undefined');
  assert.equal(evaluateToText('A', my), 'error');
  assert.equal(evaluateToText('A =?= error', my), 'true');
  const ad = parseAd('# a machine\nName = "a"\n\nDisk = 10 * 1024\nStart = Disk > 5 && TARGET.x == 1\n');
  assert.equal(printValue(evaluate(parseExpr('Start'), ad, parseAd('x = 1'))), 'true');
  assert.deepEqual(
    [...referencedAttributes(parseExpr('Want && OpSys == "LINUX" && TARGET.Has_x'), parseAd(my))].sort(),
    ['has_x', 'memory', 'opsys'],
  );
});

test('classad: reports errors with line and column, in bounded time also for long or deeply nested input', () => {
  const invalidTexts: [string, RegExp][] = [
    ['1 +', /line 1, column 4: unexpected end/],
    ['a &&\n  )', /line 2, column 3: unexpected "\)"/],
    ['a = 1', /column 3: unexpected "="/],
    ['"open', /line 1/],
    ['3x', /line 1/],
    ['', /unexpected end/],
    [`${'('.repeat(5000)}1`, /nested more than/],
    ['!'.repeat(5000), /nested more than/],
    [`${'{'.repeat(5000)}`, /nested more than/],
    [`1${' + 1'.repeat(5000)}`, /more than 300 operators in a row/],
    [`a${'.b'.repeat(5000)}`, /more than 300 operators in a row/],
    [`${'a ? b : '.repeat(3000)}c`, /nested more than/],
    ['x'.repeat(300_000), /longer than/],
  ];
  for (const [text, want] of invalidTexts) {
    const at = performance.now();
    assert.throws(
      () => parseExpr(text),
      (e) => e instanceof ClassAdError && want.test(e.message),
      text.slice(0, 40),
    );
    assert.ok(performance.now() - at < 500, text.slice(0, 40));
  }
  assert.throws(() => parseAd('a = 1\nb = 2 +\n'), /line 2, column 8/);
  assert.throws(() => parseAd('a = 1\nnonsense\n'), /line 2, column 1: expected NAME = expression/);
});

test('classad: bounds the time of expensive regular expressions and exponentially growing evaluations', () => {
  const at = performance.now();
  assert.equal(evaluateToText(`regexp("^(a+)+$", "${'a'.repeat(5000)}b")`), 'false');
  assert.equal(evaluateToText(`regexp("(a|aa)+$", "${'a'.repeat(5000)}b")`), 'false');
  assert.equal(evaluateToText(`regexp("a", "b", "q")`), 'error');
  // Each attribute doubles the previous one by evaluating it twice, so the cost of x40 is exponential.
  const doubling = Array.from({ length: 40 }, (_, i) => `x${i + 1} = x${i} + x${i};`).join(' ');
  assert.equal(evaluateToText('x40', `[x0 = 1; ${doubling}]`), 'error');
  assert.equal(evaluateToText(`${'('.repeat(60)}1${')'.repeat(60)}`), '1');
  assert.ok(performance.now() - at < 2000);
});

const names = fc.constantFrom('a', 'b', 'Memory', 'Cpus', 'MY', 'TARGET', 'odd name', 'x1');
const literals: fc.Arbitrary<Expr> = fc
  .oneof(
    fc.constant<Value>(undefined),
    fc.boolean(),
    fc.bigInt({ min: -(2n ** 63n), max: 2n ** 63n - 1n }),
    fc.integer({ min: -5, max: 5 }).map((n) => BigInt(n)),
    fc.double({ noNaN: true, noDefaultInfinity: true }),
    fc.string(),
    fc.string({ unit: 'binary' }),
    fc.constant<Value>(new ErrorValue('error')),
  )
  .map(literal);
const operators = [
  '||',
  '&&',
  '|',
  '^',
  '&',
  '==',
  '!=',
  '=?=',
  '=!=',
  '<',
  '<=',
  '>',
  '>=',
  '<<',
  '>>',
  '>>>',
  '+',
  '-',
  '*',
  '/',
  '%',
] as const;
const calls = [
  'strcat',
  'size',
  'isUndefined',
  'ifThenElse',
  'member',
  'int',
  'string',
  'regexp',
  'sum',
  'unknown',
  'substr',
  'eval',
  'unparse',
  'time',
];
const { expr } = fc.letrec<{ expr: Expr }>((tie) => ({
  expr: fc.oneof(
    { maxDepth: 5, withCrossShrink: true },
    literals,
    fc.record(
      { kind: fc.constant('reference' as const), name: names, absolute: fc.boolean() },
      { noNullPrototype: true },
    ),
    fc.record(
      { kind: fc.constant('selection' as const), of: tie('expr'), name: names },
      { noNullPrototype: true },
    ),
    fc.record(
      { kind: fc.constant('subscript' as const), of: tie('expr'), index: tie('expr') },
      { noNullPrototype: true },
    ),
    fc.tuple(fc.constantFrom('-', '+', '!', '~'), tie('expr')).map(([op, a]) => unary(op, a)),
    fc.record(
      {
        kind: fc.constant('binary' as const),
        op: fc.constantFrom(...operators),
        left: tie('expr'),
        right: tie('expr'),
      },
      { noNullPrototype: true },
    ),
    fc.record(
      {
        kind: fc.constant('conditional' as const),
        condition: tie('expr'),
        whenTrue: fc.option(tie('expr')),
        whenFalse: tie('expr'),
      },
      { noNullPrototype: true },
    ),
    fc.record(
      {
        kind: fc.constant('call' as const),
        name: fc.constantFrom(...calls),
        args: fc.array(tie('expr'), { maxLength: 3 }),
      },
      { noNullPrototype: true },
    ),
    fc.record(
      { kind: fc.constant('list' as const), items: fc.array(tie('expr'), { maxLength: 3 }) },
      { noNullPrototype: true },
    ),
    fc
      .array(fc.record({ name: names, expr: tie('expr') }, { noNullPrototype: true }), { maxLength: 3 })
      .map((all): Expr => ({ kind: 'record', ad: new ClassAd(all) })),
  ),
}));
const ads = fc.array(fc.record({ name: names, expr }), { maxLength: 4 }).map((all) => new ClassAd(all));

test('classad: a printed expression parses to an equal expression, which prints to the same text', () => {
  fc.assert(
    fc.property(expr, (e) => {
      const text = printExpr(e);
      assert.equal(printExpr(parseExpr(text)), text);
      assert.deepEqual(parseExpr(text), e);
    }),
    { seed: 7, numRuns: 1500 },
  );
});

test('classad: every expression evaluates to a value that prints to the same text after parsing', () => {
  fc.assert(
    fc.property(expr, ads, ads, (e, my, target) => {
      const v = printValue(new Evaluation().run(e, matchScopes(my, target)));
      if (!v.includes('[') && !/real\("/.test(v)) assert.equal(printExpr(parseExpr(v)), v);
      assert.equal(printAd(parseAd(printAd(my))), printAd(my));
    }),
    { seed: 7, numRuns: 1500 },
  );
});

test('classad: a partially evaluated expression has the same value as the original', () => {
  fc.assert(
    fc.property(expr, ads, ads, (e, my, target) => {
      const whole = printValue(evaluate(e, my, target));
      assert.equal(printValue(evaluate(partiallyEvaluate(e, my), my, target)), whole);
    }),
    { seed: 7, numRuns: 3000 },
  );
  const reduced = partiallyEvaluate(
    parseExpr('Want > 3 && TARGET.Memory >= Need * 2 && (false || Arch == "x")'),
    parseAd('Want = 4\nNeed = 8'),
  );
  assert.equal(printExpr(reduced), 'true && TARGET.Memory >= 16 && (false || Arch == "x")');
});
