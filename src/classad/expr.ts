export type UnaryOp = '-' | '+' | '!' | '~';
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

/** An expression of the language, as the grammar makes it. Never changed. */
export type Expr =
  | { kind: 'literal'; value: Value }
  | { kind: 'reference'; name: string; absolute: boolean }
  | { kind: 'selection'; of: Expr; name: string }
  | { kind: 'subscript'; of: Expr; index: Expr }
  | { kind: 'unary'; op: UnaryOp; operand: Expr }
  | { kind: 'binary'; op: BinaryOp; left: Expr; right: Expr }
  /** `a` null: `c ?: b`. */
  | { kind: 'conditional'; condition: Expr; whenTrue: Expr | null; whenFalse: Expr }
  | { kind: 'call'; name: string; args: Expr[] }
  | { kind: 'list'; items: Expr[] }
  | { kind: 'record'; ad: Ad };

export interface Attribute {
  name: string;
  expr: Expr;
}

/** A record of attributes. Names are the same in any case; they are shown as they were first written. */
export class Ad {
  private readonly attributes = new Map<string, Attribute>();

  constructor(attributes: Iterable<Attribute> = []) {
    for (const a of attributes) this.set(a.name, a.expr);
  }

  /** The last one of a name holds. */
  set(name: string, expr: Expr): void {
    this.attributes.set(name.toLowerCase(), { name, expr });
  }

  get(name: string): Expr | undefined {
    return this.attributes.get(name.toLowerCase())?.expr;
  }

  has(name: string): boolean {
    return this.attributes.has(name.toLowerCase());
  }

  delete(name: string): void {
    this.attributes.delete(name.toLowerCase());
  }

  get size(): number {
    return this.attributes.size;
  }

  [Symbol.iterator](): Iterator<Attribute> {
    return this.attributes.values();
  }
}

export const literal = (value: Value): Expr => ({ kind: 'literal', value });

/** The text of an expression that is nothing but text. */
export const textOf = (expr: Expr | undefined): string | null =>
  expr?.kind === 'literal' && typeof expr.value === 'string' ? expr.value : null;

/** A minus before a number is part of it. */
export function unary(op: UnaryOp, operand: Expr): Expr {
  if (op === '-' && operand.kind === 'literal') {
    if (typeof operand.value === 'bigint') return literal(BigInt.asIntN(64, -operand.value));
    if (typeof operand.value === 'number') return literal(-operand.value);
  }
  return { kind: 'unary', op, operand };
}

/** The expressions right inside another. */
export function children(expr: Expr): Expr[] {
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
      return [...expr.ad].map((a) => a.expr);
  }
}

// ---- what expressions come to ----

/** Where an expression stands: its record, those around it, and the record that it is matched with. */
export interface Scope {
  ad: Ad;
  parent: Scope | null;
  /** The outermost record's other side. */
  target: Scope | null;
}

/** The value `error`, with why, for people. All of them are alike to the language. */
export class ErrorValue {
  constructor(readonly reason: string) {}
}

/** A record that was evaluated: where its attributes find theirs. */
export class RecordValue {
  constructor(
    readonly ad: Ad,
    readonly scope: Scope,
  ) {}
}

/** What an expression can come to: `undefined`, `error`, booleans, integers (64 bits), reals, strings, lists, records. */
export type Value = undefined | ErrorValue | boolean | bigint | number | string | Value[] | RecordValue;
