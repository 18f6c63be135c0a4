/** Expressions of the match language, records of attributes, and the values that expressions evaluate to. */

/** Operators with one operand. */
export type UnaryOp = '-' | '+' | '!' | '~';
/** Operators with two operands. */
export type BinaryOp =
  | '||'
  | '&&'
  | '|'
  | '^'
  | '&'
  | '=='
  | '!='
  | '=?='
  | '=!='
  | '<'
  | '<='
  | '>'
  | '>='
  | '<<'
  | '>>'
  | '>>>'
  | '+'
  | '-'
  | '*'
  | '/'
  | '%';

/** An expression, as the grammar builds it. Immutable. */
export type Expr =
  | { readonly kind: 'literal'; readonly value: Value }
  | { readonly kind: 'reference'; readonly name: string; readonly absolute: boolean }
  | { readonly kind: 'selection'; readonly of: Expr; readonly name: string }
  | { readonly kind: 'subscript'; readonly of: Expr; readonly index: Expr }
  | { readonly kind: 'unary'; readonly op: UnaryOp; readonly operand: Expr }
  | { readonly kind: 'binary'; readonly op: BinaryOp; readonly left: Expr; readonly right: Expr }
  /** `whenTrue` null: `condition ?: whenFalse`. */
  | {
      readonly kind: 'conditional';
      readonly condition: Expr;
      readonly whenTrue: Expr | null;
      readonly whenFalse: Expr;
    }
  | { readonly kind: 'call'; readonly name: string; readonly args: readonly Expr[] }
  | { readonly kind: 'list'; readonly items: readonly Expr[] }
  | { readonly kind: 'record'; readonly ad: Ad };

/** An attribute of a record. */
export interface Attribute {
  readonly name: string;
  readonly expr: Expr;
}

/** A record of attributes. Names are case-insensitive, and shown as they were last set. */
export class Ad {
  private readonly attributes = new Map<string, Attribute>();

  constructor(attributes: Iterable<Attribute> = []) {
    for (const { name, expr } of attributes) this.set(name, expr);
  }

  /** Sets an attribute, replacing one of the same name. */
  set(name: string, expr: Expr): void {
    this.attributes.set(name.toLowerCase(), { name, expr });
  }

  /** An attribute's expression. */
  get(name: string): Expr | undefined {
    return this.attributes.get(name.toLowerCase())?.expr;
  }

  /** Whether there is such an attribute. */
  has(name: string): boolean {
    return this.attributes.has(name.toLowerCase());
  }

  /** Removes an attribute. */
  delete(name: string): void {
    this.attributes.delete(name.toLowerCase());
  }

  /** How many attributes there are. */
  get size(): number {
    return this.attributes.size;
  }

  /** The attributes, in the order in which they were first set. */
  [Symbol.iterator](): Iterator<Attribute> {
    return this.attributes.values();
  }
}

/** A value as an expression. */
export const literal = (value: Value): Expr => ({ kind: 'literal', value });

/** The text of a string literal; null for any other expression. */
export const textOf = (expr: Expr | undefined): string | null =>
  expr?.kind === 'literal' && typeof expr.value === 'string' ? expr.value : null;

/** A unary expression; a minus before a number literal becomes part of the number. */
export function unary(op: UnaryOp, operand: Expr): Expr {
  if (op === '-' && operand.kind === 'literal') {
    if (typeof operand.value === 'bigint') return literal(BigInt.asIntN(64, -operand.value));
    if (typeof operand.value === 'number') return literal(-operand.value);
  }
  return { kind: 'unary', op, operand };
}

/** The direct subexpressions of an expression. */
export function children(expr: Expr): readonly Expr[] {
  switch (expr.kind) {
    case 'literal':
    case 'reference':
      return [];
    case 'selection':
      return [expr.of];
    case 'subscript':
      return [expr.of, expr.index];
    case 'unary':
      return [expr.operand];
    case 'binary':
      return [expr.left, expr.right];
    case 'conditional':
      return expr.whenTrue
        ? [expr.condition, expr.whenTrue, expr.whenFalse]
        : [expr.condition, expr.whenFalse];
    case 'call':
      return expr.args;
    case 'list':
      return expr.items;
    case 'record':
      return [...expr.ad].map((attribute) => attribute.expr);
  }
}

// ---- values ----

/** Where names are looked up: a record, the records that enclose it, and the target that it is matched with. */
export interface Scope {
  readonly ad: Ad;
  /** The scope of the enclosing record; null for the outermost one. */
  readonly parent: Scope | null;
  /** The scope of the other record; only the outermost scope has one. */
  target: Scope | null;
}

/** The value `error`, with a reason for users. The language does not distinguish errors. */
export class ErrorValue {
  constructor(readonly reason: string) {}
}

/** A record as a value, with the scope of its attributes. */
export class RecordValue {
  constructor(
    readonly ad: Ad,
    readonly scope: Scope,
  ) {}
}

/** What an expression can evaluate to: `undefined`, `error`, booleans, integers (64 bits), reals, strings, lists, records. */
export type Value = undefined | ErrorValue | boolean | bigint | number | string | Value[] | RecordValue;
