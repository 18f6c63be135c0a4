/** Tests of HTCondor submit files: macros, queue statements, and the resulting job records. */
import assert from 'node:assert/strict';
import { test } from 'node:test';
import { adToJson, Submission, SubmitError, type SubmitEnvironment } from '../src/condor/index.js';

const files: Record<string, string> = {
  '/home/ann/table.txt': 'red 1\n# a comment\n\ngreen, 2 and more\n',
  '/home/ann/empty.txt': '# nothing\n\n',
  '/home/ann/work/common.inc': 'request_cpus = 3\ninclude : more/deep.inc\n',
  '/home/ann/work/more/deep.inc': 'request_disk = 4K\n',
  '/home/ann/work/loop.inc': 'include : loop.inc\n',
};
const submitEnvironment = (): SubmitEnvironment => ({
  cwd: '/home/ann',
  env: { HOME: '/home/ann', LANG: 'C', LC_ALL: 'C' },
  user: 'ann',
  nowS: 1_700_000_000,
  random: () => 0.5,
  read: (path) => files[path] ?? null,
  glob: (pattern, kind) =>
    kind === 'dirs'
      ? ['in/dir']
      : pattern === '*.dat'
        ? ['a.dat', 'b.dat']
        : pattern === 'in/*'
          ? ['in/c']
          : [],
});
const readSubmitFile = (text: string): { jobs: Record<string, unknown>[]; warnings: string[] } => {
  const s = new Submission(text, 'work/job.sub', submitEnvironment());
  const jobs = [...s.jobs()].map(adToJson);
  return { jobs, warnings: s.warnings };
};

const executable = 'executable = /bin/x\n';
/** Valid submit files: a name, the text, and for each job the expected values of some of its attributes. */
const validFiles: [string, string, Record<string, unknown>[]][] = [
  [
    'a minimal file',
    `${executable}queue`,
    [
      {
        ClusterId: 1,
        ProcId: 0,
        JobUniverse: 5,
        Cmd: '/bin/x',
        Iwd: '/home/ann',
        JobStatus: 1,
        RequestCpus: 1,
        Owner: 'ann',
        Args: undefined,
      },
    ],
  ],
  [
    'a relative executable',
    'executable = bin/y\ninitialdir = /data\nqueue',
    [{ Cmd: '/home/ann/bin/y', Iwd: '/data' }],
  ],
  [
    'a relative directory',
    `${executable}initialdir = run.$(Process)\nqueue 2`,
    [{ Iwd: '/home/ann/run.0' }, { Iwd: '/home/ann/run.1' }],
  ],
  ['names in any case', 'Executable = /bin/x\nARGUMENTS = a\nQueue 1', [{ Args: 'a' }]],
  ['comments and empty lines', `# one\n\n   # two\n${executable}\nqueue\n# three`, [{ Cmd: '/bin/x' }]],
  [
    'continuation lines',
    `${executable}arguments = a \\\n   b \\\n # not this\n c\nqueue`,
    [{ Args: 'a b c' }],
  ],
  ['a multi-line value', `${executable}arguments @=end\na\nb\n@end\nqueue`, [{ Args: 'a\nb' }]],
  [
    'old arguments',
    `${executable}arguments = one \\"two\\" 'three'\nqueue`,
    [{ Args: `one "two" 'three'`, Arguments: undefined }],
  ],
  [
    'new arguments',
    `${executable}arguments = "one 'two  three' ""q"" 'it''s'"\nqueue`,
    [{ Args: `one 'two  three' "q" 'it''s'`, Arguments: `one 'two  three' "q" 'it''s'` }],
  ],
  [
    'old environment',
    `${executable}environment = A=1;B=two words\nqueue`,
    [{ Env: 'A=1;B=two words', Environment: undefined }],
  ],
  [
    'new environment',
    `${executable}environment = "A=1 B='two words'"\nqueue`,
    [{ Env: "A=1 B='two words'", Environment: "A=1 B='two words'" }],
  ],
  ['getenv with patterns', `${executable}getenv = L*, !LC_*\nqueue`, [{ Env: 'LANG=C' }]],
  [
    'getenv combined with environment',
    `${executable}getenv = true\nenvironment = "LANG=D E=1"\nqueue`,
    [{ Env: 'HOME=/home/ann LC_ALL=C LANG=D E=1' }],
  ],
  [
    'files',
    `${executable}input = i\noutput = o.$(Cluster).$(Process)\nerror = e\nlog = l\nqueue`,
    [{ In: 'i', Out: 'o.1.0', Err: 'e', UserLog: '/home/ann/l' }],
  ],
  [
    'a log file relative to initialdir',
    `${executable}initialdir = d\nlog = l\nqueue`,
    [{ UserLog: '/home/ann/d/l' }],
  ],
  ['memory without a unit', `${executable}request_memory = 2048\nqueue`, [{ RequestMemory: 2048 }]],
  ['memory with units', `${executable}request_memory = 1.5 GB\nqueue`, [{ RequestMemory: 1536 }]],
  ['memory in KB, rounded up', `${executable}request_memory = 1025K\nqueue`, [{ RequestMemory: 2 }]],
  ['disk without a unit', `${executable}request_disk = 5\nqueue`, [{ RequestDisk: 5 }]],
  ['disk with a unit', `${executable}request_disk = 2M\nqueue`, [{ RequestDisk: 2048 }]],
  [
    'computed numbers',
    `${executable}request_cpus = 2 * 2\nrequest_gpus = 1\nqueue`,
    [{ RequestCpus: 4, RequestGPUs: 1 }],
  ],
  [
    'an amount that depends on another attribute',
    `${executable}request_memory = MY.Size * 2\n+Size = 10\nqueue`,
    [{ RequestMemory: '/Expr(MY.Size * 2)/', Size: 10 }],
  ],
  [
    'requirements and rank',
    `${executable}requirements = (TARGET.Arch == "X86_64") && Memory > 1\nrank = Memory\nqueue`,
    [{ Requirements: '/Expr(TARGET.Arch == "X86_64" && Memory > 1)/', Rank: '/Expr(Memory)/' }],
  ],
  [
    'custom attributes',
    `${executable}+Project = "p"\nMy.Level = $(Process) + 1\nqueue`,
    [{ Project: 'p', Level: '/Expr(0 + 1)/' }],
  ],
  ['priority', `${executable}priority = -5\nqueue`, [{ JobPrio: -5 }]],
  ['on hold', `${executable}hold = true\nqueue`, [{ JobStatus: 5, HoldReasonCode: 15 }]],
  [
    'retries',
    `${executable}max_retries = 3\nqueue`,
    [{ JobMaxRetries: 3, OnExitRemove: '/Expr(NumJobCompletions > JobMaxRetries || ExitCode =?= 0)/' }],
  ],
  [
    'retries with another success exit code',
    `${executable}max_retries = 1\nsuccess_exit_code = 7\nqueue`,
    [{ OnExitRemove: '/Expr(NumJobCompletions > JobMaxRetries || ExitCode =?= 7)/' }],
  ],
  [
    'retries until an exit code',
    `${executable}max_retries = 3\nretry_until = 2\nqueue`,
    [{ OnExitRemove: '/Expr(NumJobCompletions > JobMaxRetries || ExitCode =?= 0 || ExitCode =?= 2)/' }],
  ],
  [
    'periodic expressions',
    `${executable}periodic_hold = NumJobStarts > 3\nperiodic_release = true\nperiodic_remove = false\nqueue`,
    [{ PeriodicHold: '/Expr(NumJobStarts > 3)/', PeriodicRelease: true, PeriodicRemove: false }],
  ],
  [
    'expressions evaluated on exit',
    `${executable}on_exit_hold = ExitCode =!= 0\non_exit_remove = true\nqueue`,
    [{ OnExitHold: '/Expr(ExitCode =!= 0)/', OnExitRemove: true }],
  ],
  [
    'deferral, groups, names',
    `${executable}deferral_time = 1700000100\naccounting_group = g.h\nbatch_name = b\nleave_in_queue = true\nqueue`,
    [
      {
        DeferralTime: 1700000100,
        AcctGroup: 'g.h',
        AccountingGroup: 'g.h.ann',
        JobBatchName: 'b',
        LeaveJobInQueue: true,
      },
    ],
  ],
  [
    'the user of an accounting group',
    `${executable}accounting_group = g\naccounting_group_user = bob\nqueue`,
    [{ AccountingGroup: 'g.bob' }],
  ],
  ['universes', `${executable}universe = local\nqueue`, [{ JobUniverse: 12 }]],
  [
    'the parallel universe',
    `${executable}universe = parallel\nmachine_count = 4\nqueue`,
    [{ JobUniverse: 11, MinHosts: 4, MaxHosts: 4 }],
  ],
  ['macros, expanded late', `${executable}a = $(b)\nb = 1\narguments = $(a)\nqueue`, [{ Args: '1' }]],
  ["a macro's default", `${executable}arguments = $(nope:dflt) $(nope2:)\nqueue`, [{ Args: 'dflt' }]],
  [
    "a macro in a macro's name",
    `${executable}a1 = one\narguments = $(a$(Process:9)) $(a$(one:1))\nqueue`,
    [{ Args: 'one' }],
  ],
  [
    'a macro that refers to itself',
    `${executable}a = 1\na = $(a) 2\narguments = $(a)\nqueue`,
    [{ Args: '1 2' }],
  ],
  [
    'a macro that changes between queue statements',
    `${executable}a = 1\narguments = $(a)\nqueue\na = 2\nqueue`,
    [
      { ProcId: 0, Args: '1' },
      { ProcId: 1, Args: '2' },
    ],
  ],
  ['literal dollar signs', `${executable}arguments = $(DOLLAR)HOME $x\nqueue`, [{ Args: '$HOME $x' }]],
  [
    'the environment of the submitter',
    `${executable}arguments = $ENV(HOME) $ENV(NOPE:none)\nqueue`,
    [{ Args: '/home/ann none' }],
  ],
  [
    'integers',
    `${executable}arguments = $INT(Process,%03d) $INT(n)\nn = 7 / 2 + 1\nqueue`,
    [{ Args: '000 4' }],
  ],
  ['reals', `${executable}arguments = $REAL(n,%.2f)\nn = 1.0 / 3\nqueue`, [{ Args: '0.33' }]],
  [
    'strings',
    `${executable}arguments = $STRING(n) $EVAL(n)\nn = strcat("a", "b")\nqueue`,
    [{ Args: 'ab ab' }],
  ],
  [
    'choices',
    `${executable}l = red,green\narguments = $CHOICE(Process,l) $CHOICE(1,a,b,c)\nqueue`,
    [{ Args: 'red b' }],
  ],
  [
    'substrings',
    `${executable}n = abcdef\narguments = $SUBSTR(n,1,2) $SUBSTR(n,-2) $SUBSTR(n,1,-1)\nqueue`,
    [{ Args: 'bc ef bcde' }],
  ],
  [
    'parts of file names',
    `${executable}f = dir/sub/file.tar.gz\narguments = $Fp(f) $Fd(f) $Fn(f) $Fx(f) $Fnx(f)\nqueue`,
    [{ Args: 'dir/sub/ sub/ file.tar .gz file.tar.gz' }],
  ],
  [
    'absolute and quoted file names',
    `${executable}f = d/e.f\nenvironment = F=$Ff(f);Q=$Fqa(f)\nqueue`,
    [{ Env: "F=/home/ann/d/e.f;Q='d/e.f'" }],
  ],
  [
    'base names and directory names',
    `${executable}f = d/e.txt\narguments = $BASENAME(f) $DIRNAME(f)\nqueue`,
    [{ Args: 'e.txt d' }],
  ],
  [
    'random functions',
    `${executable}arguments = $RANDOM_CHOICE(a,b,c) $RANDOM_INTEGER(1,10)\nqueue`,
    [{ Args: 'b 6' }],
  ],
  [
    'conditions',
    `${executable}if defined a\narguments = 1\nelif version >= 8.1\narguments = 2\nelse\narguments = 3\nendif\nqueue`,
    [{ Args: '2' }],
  ],
  [
    'nested conditions',
    `${executable}if true\nif 0\narguments = 1\nelse\narguments = 2\nendif\nelse\nif true\narguments = 3\nendif\nendif\nqueue`,
    [{ Args: '2' }],
  ],
  [
    'conditions with negation and macros',
    `${executable}big = 5 > 3\nif ! $(big)\narguments = 1\nelse\narguments = 2\nendif\nqueue`,
    [{ Args: '2' }],
  ],
  [
    'a queue statement in a branch that is not taken',
    `${executable}if false\nqueue 5 in (a\nb)\nendif\nqueue`,
    [{ ProcId: 0 }],
  ],
  ['included files', `${executable}include : common.inc\nqueue`, [{ RequestCpus: 3, RequestDisk: 4 }]],
  ['an optional include that is missing', `${executable}include ifexist : nope.inc\nqueue`, [{ ProcId: 0 }]],
  [
    'a number of jobs',
    `${executable}arguments = $(Process)/$(ProcId)/$(Step)\nqueue 1 + 1`,
    [{ Args: '0/0/0' }, { Args: '1/1/1' }],
  ],
  ['a number from a macro', `${executable}n = 2\nqueue $(n)`, [{ ProcId: 0 }, { ProcId: 1 }]],
  [
    'items in a list',
    `${executable}arguments = $(Item) $(ItemIndex)\nqueue in (a, b c)`,
    [{ Args: 'a 0' }, { Args: 'b 1' }, { Args: 'c 2' }],
  ],
  [
    'items without parentheses',
    `${executable}arguments = $(v)\nqueue v in a b`,
    [{ Args: 'a' }, { Args: 'b' }],
  ],
  [
    'several jobs per item',
    `${executable}arguments = $(v)$(Step)\nqueue 2 v in (a\n b)`,
    [{ Args: 'a0' }, { Args: 'a1' }, { Args: 'b0' }, { Args: 'b1' }],
  ],
  ['a slice', `${executable}arguments = $(v)\nqueue v in [1::2] (a b c d)`, [{ Args: 'b' }, { Args: 'd' }]],
  ['a slice from the end', `${executable}arguments = $(v)\nqueue v in [-1:] (a b c d)`, [{ Args: 'd' }]],
  [
    'a table in a file',
    `${executable}arguments = $(n)=$(rest)\nqueue n,rest from table.txt`,
    [{ Args: 'red=1' }, { Args: 'green=2 and more' }],
  ],
  [
    'whole lines of a file',
    `${executable}arguments = $(l)\nqueue l from table.txt`,
    [{ Args: 'red 1' }, { Args: 'green, 2 and more' }],
  ],
  [
    'an inline table',
    `${executable}arguments = $(a)-$(b)\nqueue a b from (\n  1 2\n# no\n  $(Process), 4\n)`,
    [{ Args: '1-2' }, { Args: '1-4' }],
  ],
  [
    'files that match a pattern',
    `${executable}arguments = $(f)\nqueue f matching files *.dat in/*`,
    [{ Args: 'a.dat' }, { Args: 'b.dat' }, { Args: 'in/c' }],
  ],
  [
    'directories that match a pattern',
    `${executable}arguments = $(Item)\nqueue matching dirs (in/*)`,
    [{ Args: 'in/dir' }],
  ],
  ['command aliases', `${executable}args = 1\nstdout = o\nqueue`, [{ Args: '1', Out: 'o' }]],
  ['an empty value', `${executable}arguments =\noutput =\nqueue`, [{ Args: undefined, Out: '/dev/null' }]],
];
test(`submit: ${validFiles.length} valid files produce the expected jobs`, () => {
  assert.ok(validFiles.length >= 60);
  for (const [name, text, want] of validFiles) {
    const { jobs } = readSubmitFile(text);
    assert.equal(jobs.length, want.length, name);
    want.forEach((w, i) => {
      for (const [attr, v] of Object.entries(w))
        assert.deepEqual(jobs[i][attr], v, `${name}: job ${i}: ${attr}`);
    });
  }
});

/** Invalid submit files, and the expected error messages. */
const invalidFiles: [string, RegExp][] = [
  ['', /^work\/job\.sub:1: no queue statement/],
  [executable, /:1: no queue statement/],
  ['queue', /:1: queue: no executable is set/],
  ['executable =\nqueue', /:1: executable: must not be empty/],
  [`${executable}nonsense\nqueue`, /:2: nonsense: expected NAME = value, or queue/],
  [`${executable}a == b\nqueue`, /:2: a == b: expected NAME/],
  [`${executable}arguments = "a\nqueue`, /:2: arguments: a double quote is not closed/],
  [`${executable}arguments = "a 'b"\nqueue`, /:2: arguments: a single quote is not closed/],
  [
    `${executable}arguments = "a "b" c"\nqueue`,
    /:2: arguments: a double quote inside double quotes must be doubled/,
  ],
  [`${executable}arguments = a "b"\nqueue`, /:2: arguments: a double quote in the old syntax/],
  [`${executable}environment = "A"\nqueue`, /:2: environment: A: expected NAME=VALUE/],
  [`${executable}environment = 1=2\nqueue`, /:2: environment: 1=2: expected NAME=VALUE/],
  [`${executable}requirements = (a &&\nqueue`, /:2: requirements: column 6: unexpected end/],
  [`${executable}rank = 1 +* 2\nqueue`, /:2: rank: column 4: unexpected "\*"/],
  [`${executable}+Project = no quotes\nqueue`, /:2: Project: column 4: unexpected "q"/],
  [`${executable}request_memory = 5X\nqueue`, /:2: request_memory: 5X: no such unit/],
  [`${executable}request_memory = "big"\nqueue`, /:2: request_memory: "big": must be a number/],
  [`${executable}request_cpus = 0\nqueue`, /:2: request_cpus: 0: must be at least 1/],
  [`${executable}request_cpus = -1\nqueue`, /:2: request_cpus: -1: must not be below zero/],
  [`${executable}priority = high\nqueue`, /:2: priority: high: must be a whole number/],
  [`${executable}hold = maybe\nqueue`, /:2: hold: maybe: must be true or false/],
  [`${executable}notification = daily\nqueue`, /:2: notification: daily: must be always/],
  [`${executable}universe = docker\nqueue`, /:2: universe: docker: not supported/],
  [`${executable}universe = grid\nqueue`, /:2: universe: grid: not supported/],
  [`${executable}docker_image = a\nqueue`, /:2: docker_image: containers are not supported/],
  [`${executable}concurrency_limits = a\nqueue`, /:2: concurrency_limits: counted resources/],
  [`${executable}x509userproxy = a\nqueue`, /:2: x509userproxy: credentials/],
  [`${executable}cron_minute = 1\nqueue`, /:2: cron_minute: repeated jobs/],
  [`${executable}arguments = $$(Memory)\nqueue`, /:2: \$\$\(\): substitution from the matched machine/],
  [`${executable}arguments = $(a\nqueue`, /:2: .*bracket not closed/],
  [`${executable}arguments = $(1a)\nqueue`, /:2: \$\(1a\): not a name/],
  [`${executable}arguments = $NOPE(a)\nqueue`, /:2: \$NOPE\(a\): no such function/],
  [`${executable}arguments = $ENV(NOPE)\nqueue`, /:2: \$ENV\(NOPE\): not set/],
  [`${executable}arguments = $INT(x,%s)\nx = 1\nqueue`, /:2: .*not a format/],
  [`${executable}arguments = $INT(x)\nx = abc\nqueue`, /:2: .*not a number/],
  [`${executable}arguments = $CHOICE(9,a,b)\nqueue`, /:2: .*no choice 9 of 2/],
  [`${executable}a = $(a)\nqueue`, /:2: a: refers to itself/],
  [`${executable}a = $(b)\nb = $(a)\narguments = $(a)\nqueue`, /: a -> b -> a: refers to itself/],
  [`${executable}if true\nqueue`, /:2: if: without endif/],
  [`${executable}endif\nqueue`, /:2: endif: without if/],
  [`${executable}if true\nelse\nelse\nendif\nqueue`, /:4: else: after else/],
  [`${executable}if perhaps so\nendif\nqueue`, /:2: if perhaps so: neither true nor false/],
  [`${executable}include : ../up.inc\nqueue`, /:2: include: \.\.\/up\.inc: not below/],
  [`${executable}include : nope.inc\nqueue`, /:2: include: nope\.inc: cannot be read/],
  [`${executable}include : loop.inc\nqueue`, /^loop\.inc:1: include: more than 20 files/],
  [`${executable}include command : ls\nqueue`, /:2: include: the output of a program/],
  [`${executable}use feature : a\nqueue`, /:2: use: templates are not supported/],
  [`${executable}error : stop here\nqueue`, /:2: stop here/],
  [`${executable}arguments @=end\na\nqueue`, /:2: arguments: @end is missing/],
  [`${executable}queue many`, /:2: queue: many: not a number of jobs/],
  [`${executable}queue -1`, /:2: queue: -1: not a number of jobs/],
  [`${executable}queue 2000000`, /:2: queue: more than 1000000 jobs/],
  [`${executable}queue a,b in (1 2)`, /:2: queue: in takes one name/],
  [`${executable}queue in ()`, /:2: queue: there are no items/],
  [`${executable}queue in [x] (a)`, /:2: queue: \[x\]: not a slice/],
  [`${executable}queue in [5:] (a)`, /:2: queue: \[5:\] leaves no items/],
  [`${executable}queue in (a\nb`, /:2: queue: bracket not closed/],
  [`${executable}queue a from nope.txt`, /:2: queue: from nope\.txt: cannot be read/],
  [`${executable}queue a from empty.txt`, /:2: queue: from empty\.txt: there are no items/],
  [`${executable}queue a from ls |`, /:2: queue: from a program is not supported/],
  [`${executable}queue matching *.none`, /:2: queue: nothing matches \*\.none/],
  [`${executable}queue 1a from table.txt`, /:2: queue: .*not a number of jobs/],
];

test(`submit: ${invalidFiles.length} invalid files are rejected with the line of the error`, () => {
  for (const [text, want] of invalidFiles)
    assert.throws(
      () => readSubmitFile(text),
      (e) => e instanceof SubmitError && want.test(e.message),
      `${JSON.stringify(text)}: ${(() => {
        try {
          return JSON.stringify(readSubmitFile(text));
        } catch (e) {
          return String((e as Error).message);
        }
      })()}`,
    );
});

test('submit: commands without effect and unused or undefined macros cause warnings with their line', () => {
  const { warnings } = readSubmitFile(
    `${executable}should_transfer_files = YES\nnotification = complete\nargumens = a\nused = 1\narguments = $(used) $(nope)\nqueue\nlate = 1`,
  );
  const assertWarning = (line: number, message: RegExp): void =>
    assert.ok(
      warnings.some((w) => w.startsWith(`work/job.sub:${line}: warning: `) && message.test(w)),
      `${line} ${message}: ${warnings.join('\n')}`,
    );
  assertWarning(2, /no files are transferred/);
  assertWarning(3, /no mail is sent/);
  assertWarning(4, /argumens: not a submit command, and nothing refers to it/);
  assertWarning(6, /\$\(nope\) has no value/);
  assertWarning(8, /after the last queue/);
  assert.equal(warnings.filter((w) => w.includes(':5:')).length, 0);
});

test('submit: generates 100,000 jobs of one queue statement, and rejects macros that expand exponentially', () => {
  const at = performance.now();
  const s = new Submission(
    `${executable}arguments = $(Process)\noutput = o.$(Process)\nqueue 100000`,
    'big.sub',
    submitEnvironment(),
  );
  let n = 0;
  let last: unknown = null;
  for (const ad of s.jobs()) {
    n++;
    last = ad;
  }
  assert.equal(n, 100_000);
  assert.equal(adToJson(last as never)['Args'], '99999');
  assert.ok(performance.now() - at < 20_000);
  const doubling = Array.from({ length: 40 }, (_, i) => `a${i + 1} = $(a${i})$(a${i})`).join('\n');
  assert.throws(
    () => readSubmitFile(`${executable}a0 = ab\n${doubling}\narguments = $(a40)\nqueue`),
    /more than \d+ characters/,
  );
});
