export { Ad, children, literal, textOf, type Attribute, type Expr } from './expr.js';
export { Fault, RecordValue, typeOf, truth, type Value } from './values.js';
export { ClassAdError, parseAd, parseExpr } from './parse.js';
export { printAd, printExpr, printName, printValue } from './print.js';
export { Evaluation, evaluate } from './evaluate.js';
export {
  defaultContext as noSurroundings,
  type EvaluationContext as Surroundings,
} from './evaluation-context.js';
export { matchScopes as framesOf } from './scopes.js';
export { functions } from './functions/index.js';
export { partiallyEvaluate as partial } from './partial.js';
export { referencedAttributes as asked, isNonDeterministic as varies } from './refs.js';
