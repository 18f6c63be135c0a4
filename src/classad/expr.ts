/** The syntax tree of ClassAd expressions, ClassAd records, and the values that expressions evaluate to. */

/** The unary operators. */
export type UnaryOp = '-' | '+' | '!' | '~';
/** The binary operators. */
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

/** A node of the syntax tree, as the grammar builds it. Immutable. */
export type Expr =
  | { readonly kind: 'literal'; readonly value: Value }
  | { readonly kind: 'reference'; readonly name: string; readonly absolute: boolean }
  | { readonly kind: 'selection'; readonly of: Expr; readonly name: string }
  | { readonly kind: 'subscript'; readonly of: Expr; readonly index: Expr }
  | { readonly kind: 'unary'; readonly op: UnaryOp; readonly operand: Expr }
  | { readonly kind: 'binary'; readonly op: BinaryOp; readonly left: Expr; readonly right: Expr }
  /** `whenTrue` is null in the short form `condition ?: whenFalse`. */
  | {
      readonly kind: 'conditional';
      readonly condition: Expr;
      readonly whenTrue: Expr | null;
      readonly whenFalse: Expr;
    }
  | { readonly kind: 'call'; readonly name: string; readonly args: readonly Expr[] }
  | { readonly kind: 'list'; readonly items: readonly Expr[] }
  | { readonly kind: 'record'; readonly ad: ClassAd };

/** An attribute of a record. */
export interface Attribute {
  readonly name: string;
  readonly expr: Expr;
}

/** A ClassAd record: a set of named expressions. Names are case-insensitive and keep the spelling of the last assignment. */
export class ClassAd {
  private readonly attributes = new Map<string, Attribute>();

  constructor(attributes: Iterable<Attribute> = []) {
    for (const { name, expr } of attributes) this.set(name, expr);
  }

  /** Sets an attribute, replacing any attribute of the same name. */
  set(name: string, expr: Expr): void {
    this.attributes.set(name.toLowerCase(), { name, expr });
  }

  /** Returns the expression of an attribute; undefined if there is no such attribute. */
  get(name: string): Expr | undefined {
    return this.attributes.get(name.toLowerCase())?.expr;
  }

  /** Whether the record has an attribute of this name. */
  has(name: string): boolean {
    return this.attributes.has(name.toLowerCase());
  }

  /** Removes an attribute, if present. */
  delete(name: string): void {
    this.attributes.delete(name.toLowerCase());
  }

  /** The number of attributes. */
  get size(): number {
    return this.attributes.size;
  }

  /** The attributes, in the order in which they were first set. */
  [Symbol.iterator](): Iterator<Attribute> {
    return this.attributes.values();
  }
}

/** Wraps a value in a literal expression. */
export const literal = (value: Value): Expr => ({ kind: 'literal', value });

/** Returns the value of a string literal; null for any other expression. */
export const stringLiteralValue = (expr: Expr | undefined): string | null =>
  expr?.kind === 'literal' && typeof expr.value === 'string' ? expr.value : null;

/** Builds a unary expression. A minus sign before a number literal becomes part of the literal. */
export function unary(op: UnaryOp, operand: Expr): Expr {
  if (op === '-' && operand.kind === 'literal') {
    if (typeof operand.value === 'bigint') return literal(BigInt.asIntN(64, -operand.value));
    if (typeof operand.value === 'number') return literal(-operand.value);
  }
  return { kind: 'unary', op, operand };
}

/** Returns the direct subexpressions of an expression. */
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

/** The scope in which names are resolved: a record, its enclosing records, and the target record that it is matched with. */
export interface Scope {
  readonly ad: ClassAd;
  /** The scope of the enclosing record; null for the outermost one. */
  readonly parent: Scope | null;
  /** The scope of the target record; set only on the outermost scope. */
  target: Scope | null;
}

/** The value `error`, with a description of the cause. The language itself treats all errors as identical. */
export class ErrorValue {
  constructor(readonly reason: string) {}
}

/** A record as a value, with the scope in which its attributes are evaluated. */
export class RecordValue {
  constructor(
    readonly ad: ClassAd,
    readonly scope: Scope,
  ) {}
}

/**
 * The result of an evaluation. Integers are 64-bit and represented as bigint, reals as number; `undefined` is the language's
 * own undefined value.
 */
export type Value = undefined | ErrorValue | boolean | bigint | number | string | Value[] | RecordValue;
