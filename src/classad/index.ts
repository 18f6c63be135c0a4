/** HTCondor's match language (ClassAds): expressions, records, their evaluation. */
export { Ad, children, literal, textOf, type Attribute, type Expr } from './expr.js';
export { ErrorValue, RecordValue, typeOf, toTruth as truth, type Value } from './values.js';
export { ClassAdError, parseAd, parseExpr } from './parse.js';
export { printAd, printExpr, printName, printValue } from './print.js';
export { Evaluation, evaluate } from './evaluate.js';
export { defaultContext, type EvaluationContext } from './evaluation-context.js';
export { matchScopes } from './scopes.js';
export { functions } from './functions/index.js';
export { partiallyEvaluate } from './partial.js';
export { referencedAttributes, isNonDeterministic } from './refs.js';
