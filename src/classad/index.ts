export { Ad, children, literal, type Attribute, type Expr } from './expr.js';
export { Fault, RecordValue, typeOf, truth, type Value } from './values.js';
export { ClassAdError, parseAd, parseExpr } from './parse.js';
export { printAd, printExpr, printName, printValue } from './print.js';
export { Evaluation, evaluate, noSurroundings, type Surroundings } from './evaluate.js';
export { framesOf } from './frames.js';
export { functions } from './functions/index.js';
export { partial } from './partial.js';
export { asked } from './refs.js';
