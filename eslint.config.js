import js from '@eslint/js';
import tseslint from 'typescript-eslint';

/** Files of `folders` may not import from `forbidden` folders of src/. */
const layer = (folders, forbidden, why) => ({
  files: folders.map((folder) => `src/${folder}/**/*.ts`),
  rules: {
    'no-restricted-imports': [
      'error',
      { patterns: [{ regex: `^(\\.\\./)+(${forbidden.join('|')})$`, message: why }] },
    ],
  },
});

const programs = ['cli/.*', 'control/.*', 'agent/.*', 'service.js', 'main.js'];
const adapters = ['users', 'workers', 'cloud', 'state', 'peers', 'net', 'store'];
const adapterImports = [...adapters.map((folder) => `${folder}/.*`), 'request-queue.js'];
const purePackages = [
  'admission',
  'classad',
  'condor',
  'data-loss',
  'feature-levels',
  'freshness',
  'limits',
  'matching',
  'policy',
  'queues',
  'recovery',
  'retry',
];

export default tseslint.config(
  { ignores: ['target/', 'node_modules/', '**/*.js'] },
  js.configs.recommended,
  ...tseslint.configs.strict,
  ...tseslint.configs.recommendedTypeChecked,
  {
    languageOptions: {
      parserOptions: { project: './tsconfig.test.json', tsconfigRootDir: import.meta.dirname },
    },
    rules: {
      '@typescript-eslint/consistent-type-imports': ['error', { fixStyle: 'inline-type-imports' }],
      // Values of the match language are written as text in many places; each kind has a text of its own.
      '@typescript-eslint/no-base-to-string': 'off',
      '@typescript-eslint/no-dynamic-delete': 'off',
      '@typescript-eslint/no-non-null-assertion': 'off',
      // An async method without an await turns what it throws into a rejection, as callers of its interface expect.
      '@typescript-eslint/require-await': 'off',
      // Write priorities are indices of arrays, too.
      '@typescript-eslint/no-unsafe-enum-comparison': 'off',
      '@typescript-eslint/restrict-template-expressions': [
        'error',
        { allowBoolean: true, allowNumber: true },
      ],
      '@typescript-eslint/switch-exhaustiveness-check': [
        'error',
        { considerDefaultExhaustiveForUnions: true },
      ],
      // The test runner itself waits for the tests that a file registers.
      '@typescript-eslint/no-floating-promises': [
        'error',
        { allowForKnownSafeCalls: [{ from: 'package', name: ['test'], package: 'node:test' }] },
      ],
    },
  },
  {
    files: ['test/**/*.ts'],
    rules: {
      // Assertions put whatever came into their messages; scenarios are records of functions that use no `this`.
      '@typescript-eslint/restrict-template-expressions': 'off',
      '@typescript-eslint/unbound-method': 'off',
    },
  },
  // Imports run one way (docs/architecture.md, "Layers").
  layer(['core'], [...programs, ...adapterImports], 'the core knows neither adapters nor programs'),
  layer(
    purePackages,
    [...programs, ...adapterImports, 'core/.*'],
    'a pure package knows neither core, adapters nor programs',
  ),
  layer(
    ['model', 'wire', 'formats'],
    [...programs, ...adapterImports, 'core/.*', ...purePackages.map((name) => `${name}/.*`)],
    'the vocabulary knows nothing above it',
  ),
  layer(
    ['users', 'workers', 'cloud', 'state', 'peers', 'net', 'store'],
    programs,
    'an adapter knows no program',
  ),
);
