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
  | { k: 'lit'; v: Value }
  | { k: 'ref'; name: string; absolute: boolean }
  | { k: 'sel'; of: Expr; name: string }
  | { k: 'at'; of: Expr; index: Expr }
  | { k: 'un'; op: UnaryOp; a: Expr }
  | { k: 'bin'; op: BinaryOp; a: Expr; b: Expr }
  /** `a` null: `c ?: b`. */
  | { k: 'if'; c: Expr; a: Expr | null; b: Expr }
  | { k: 'call'; name: string; args: Expr[] }
  | { k: 'list'; items: Expr[] }
  | { k: 'rec'; ad: Ad };

export interface Attribute {
  name: string;
  expr: Expr;
}

/** A record of attributes. Names are the same in any case; they are shown as they were first written. */
export class Ad {
  private readonly attrs = new Map<string, Attribute>();

  constructor(attributes: Iterable<Attribute> = []) {
    for (const a of attributes) this.set(a.name, a.expr);
  }

  /** The last one of a name holds. */
  set(name: string, expr: Expr): void {
    this.attrs.set(name.toLowerCase(), { name, expr });
  }

  get(name: string): Expr | undefined {
    return this.attrs.get(name.toLowerCase())?.expr;
  }

  has(name: string): boolean {
    return this.attrs.has(name.toLowerCase());
  }

  delete(name: string): void {
    this.attrs.delete(name.toLowerCase());
  }

  get size(): number {
    return this.attrs.size;
  }

  [Symbol.iterator](): Iterator<Attribute> {
    return this.attrs.values();
  }
}

export const literal = (v: Value): Expr => ({ k: 'lit', v });

/** The text of an expression that is nothing but text. */
export const textOf = (e: Expr | undefined): string | null =>
  e?.k === 'lit' && typeof e.v === 'string' ? e.v : null;

/** A minus before a number is part of it. */
export function unary(op: UnaryOp, a: Expr): Expr {
  if (op === '-' && a.k === 'lit') {
    if (typeof a.v === 'bigint') return literal(BigInt.asIntN(64, -a.v));
    if (typeof a.v === 'number') return literal(-a.v);
  }
  return { k: 'un', op, a };
}

/** The expressions right inside another. */
export function children(e: Expr): Expr[] {
  switch (e.k) {
    case 'lit':
    case 'ref':
      return [];
    case 'sel':
      return [e.of];
    case 'at':
      return [e.of, e.index];
    case 'un':
      return [e.a];
    case 'bin':
      return [e.a, e.b];
    case 'if':
      return e.a ? [e.c, e.a, e.b] : [e.c, e.b];
    case 'call':
      return e.args;
    case 'list':
      return e.items;
    case 'rec':
      return [...e.ad].map((a) => a.expr);
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
