// The language of match expressions, by HTCondor's manual. Levels bind tighter from top to bottom.
{{
const bin = (first, rest) => rest.reduce((left, [op, right]) => ({ kind: 'binary', op, left, right }), first);
const escapes = { b: '\b', t: '\t', n: '\n', f: '\f', r: '\r' };
const keywords = { true: true, false: false, undefined: undefined };
}}
{
  // Guards against an expression that is nested so deeply that whoever reads it runs out of stack.
  let depth = 0;
  const { maxDepth, maxRow, literal, unary, fault, record } = options;
  const row = (first, rest) => {
    if (rest.length > maxRow) error(`more than ${maxRow} operators in a row`);
    return bin(first, rest);
  };
}

Expression = _ e:Expr _ { return e; }
Record = _ r:Rec _ { return r.ad; }

Expr = Down e:Cond? Up &{ return e !== null; } { return e; }
Down = &{ if (++depth > maxDepth) error(`nested more than ${maxDepth} deep`); return true; }
Up = &{ depth--; return true; }

Cond = c:Or rest:(_ '?' _ @(':' _ b:Expr { return { whenTrue: null, whenFalse: b }; } / a:Expr _ ':' _ b:Expr { return { whenTrue: a, whenFalse: b }; }))?
  { return rest ? { kind: 'conditional', condition: c, ...rest } : c; }
Or = a:And r:(_ @'||' _ @And)* { return row(a, r); }
And = a:BitOr r:(_ @'&&' _ @BitOr)* { return row(a, r); }
BitOr = a:BitXor r:(_ @$('|' !'|') _ @BitXor)* { return row(a, r); }
BitXor = a:BitAnd r:(_ @'^' _ @BitAnd)* { return row(a, r); }
BitAnd = a:Equal r:(_ @$('&' !'&') _ @Equal)* { return row(a, r); }
Equal = a:Less r:(_ @EqualOp _ @Less)* { return row(a, r); }
EqualOp = '=?=' / '=!=' / '==' / '!='
  / 'isnt'i !NameChar { return '=!='; }
  / 'is'i !NameChar { return '=?='; }
Less = a:Shift r:(_ @('<=' / '>=' / $('<' !'<') / $('>' !'>')) _ @Shift)* { return row(a, r); }
Shift = a:Sum r:(_ @('>>>' / '>>' / '<<') _ @Sum)* { return row(a, r); }
Sum = a:Product r:(_ @[+-] _ @Product)* { return row(a, r); }
Product = a:Unary r:(_ @[*/%] _ @Unary)* { return row(a, r); }
Unary = Down e:(op:$('-' / '+' / '!' !'=' / '~') _ a:Unary { return unary(op, a); } / Postfix)? Up &{ return e !== null; }
  { return e; }
Postfix = of:Primary rest:(_ @(Select / Subscript))*
  {
    if (rest.length > maxRow) error(`more than ${maxRow} operators in a row`);
    return rest.reduce((e, r) => (r.name !== undefined ? { kind: 'selection', of: e, name: r.name } : { kind: 'subscript', of: e, index: r.index }), of);
  }
Select = '.' _ name:Name { return { name }; }
Subscript = '[' _ index:Expr _ ']' { return { index }; }

Primary
  = '(' _ e:Expr _ ')' { return e; }
  / Number
  / s:String { return literal(s); }
  / List
  / Rec
  / w:$('true'i / 'false'i / 'undefined'i) !NameChar { return literal(keywords[w.toLowerCase()]); }
  / 'error'i !NameChar { return literal(fault('error')); }
  / '.' _ name:Name { return { kind: 'reference', name, absolute: true }; }
  / name:Name _ '(' _ args:Args? _ ')' { return { kind: 'call', name, args: args ?? [] }; }
  / name:Name { return { kind: 'reference', name, absolute: false }; }

List = '{' _ items:Args? _ '}' { return { kind: 'list', items: items ?? [] }; }
Args = a:Expr r:(_ ',' _ @Expr)* { return [a, ...r]; }
Rec = '[' _ all:Attributes? _ ']' { return { kind: 'record', ad: record(all ?? []) }; }
Attributes = a:Attribute r:(_ ';' _ @Attribute)* (_ ';')* { return [a, ...r]; }
Attribute = name:Name _ '=' ![=?!] _ expr:Expr { return { name, expr }; }

Name
  = !(Word !NameChar) n:$([A-Za-z_] NameChar*) { return n; }
  / "'" c:(Escape / [^'\\\n])* "'" &{ return c.length > 0; } { return c.join(''); }
Word = 'true'i / 'false'i / 'undefined'i / 'error'i / 'isnt'i / 'is'i
NameChar = [A-Za-z0-9_]

Number "a number"
  = '0' [xX] d:$[0-9a-fA-F]+ !NameChar { return literal(BigInt.asIntN(64, BigInt('0x' + d))); }
  / t:$(([0-9]+ '.' [0-9]* / '.' [0-9]+) ([eE] [+-]? [0-9]+)? / [0-9]+ [eE] [+-]? [0-9]+) !NameChar { return literal(Number(t)); }
  / '0' d:$[0-7]+ ![0-9A-Za-z_.] { return literal(BigInt.asIntN(64, BigInt('0o' + d))); }
  / d:$[0-9]+ !NameChar { return literal(BigInt.asIntN(64, BigInt(d))); }

String "a string" = '"' c:($[^"\\\n]+ / Escape)* '"' { return c.join(''); }
Escape
  = '\\' d:$([0-3] [0-7] [0-7] / [0-7] [0-7]? ) { return String.fromCharCode(parseInt(d, 8)); }
  / '\\' c:[^\n] { return escapes[c] ?? c; }

_ "a space" = ([ \t\r\n] / '//' [^\n]* / '/*' (!'*/' .)* '*/')*
