/** HTCondor's ClassAd language: parsing, evaluation and printing of expressions and records. */
export { ClassAd, children, literal, stringLiteralValue, type Attribute, type Expr } from './expr.js';
export { ErrorValue, RecordValue, typeOf, toTruth, type Value } from './values.js';
export { ClassAdError, parseAd, parseExpr } from './parse.js';
export { printAd, printExpr, printName, printValue } from './print.js';
export { Evaluation, evaluate } from './evaluate.js';
export { defaultContext, type EvaluationContext } from './evaluation-context.js';
export { matchScopes } from './scopes.js';
export { functions } from './functions/index.js';
export { partiallyEvaluate } from './partial-evaluation.js';
export { referencedAttributes, isNonDeterministic } from './references.js';
