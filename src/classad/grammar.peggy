// Grammar of ClassAd expressions, after HTCondor's manual. Operator rules are ordered by increasing precedence.
{{
// Builds a left-associative chain of binary expressions.
const leftAssociative = (first, rest) => rest.reduce((left, [op, right]) => ({ kind: 'binary', op, left, right }), first);
const escapes = { b: '\b', t: '\t', n: '\n', f: '\f', r: '\r' };
const keywords = { true: true, false: false, undefined: undefined };
}}
{
  // The nesting depth is limited so that recursive processing of an expression cannot overflow the stack.
  let depth = 0;
  const { maxDepth, maxOperatorsInRow, literal, unary, errorValue, record } = options;
  const operatorChain = (first, rest) => {
    if (rest.length > maxOperatorsInRow) error(`more than ${maxOperatorsInRow} operators in a row`);
    return leftAssociative(first, rest);
  };
}

Expression = _ e:Expr _ { return e; }
Record = _ r:Rec _ { return r.ad; }

Expr = EnterNesting e:Cond? LeaveNesting &{ return e !== null; } { return e; }
EnterNesting = &{ if (++depth > maxDepth) error(`nested more than ${maxDepth} deep`); return true; }
LeaveNesting = &{ depth--; return true; }

Cond = c:Or rest:(_ '?' _ @(':' _ b:Expr { return { whenTrue: null, whenFalse: b }; } / a:Expr _ ':' _ b:Expr { return { whenTrue: a, whenFalse: b }; }))?
  { return rest ? { kind: 'conditional', condition: c, ...rest } : c; }
Or = a:And r:(_ @'||' _ @And)* { return operatorChain(a, r); }
And = a:BitOr r:(_ @'&&' _ @BitOr)* { return operatorChain(a, r); }
BitOr = a:BitXor r:(_ @$('|' !'|') _ @BitXor)* { return operatorChain(a, r); }
BitXor = a:BitAnd r:(_ @'^' _ @BitAnd)* { return operatorChain(a, r); }
BitAnd = a:Equal r:(_ @$('&' !'&') _ @Equal)* { return operatorChain(a, r); }
Equal = a:Less r:(_ @EqualOp _ @Less)* { return operatorChain(a, r); }
EqualOp = '=?=' / '=!=' / '==' / '!='
  / 'isnt'i !NameChar { return '=!='; }
  / 'is'i !NameChar { return '=?='; }
Less = a:Shift r:(_ @('<=' / '>=' / $('<' !'<') / $('>' !'>')) _ @Shift)* { return operatorChain(a, r); }
Shift = a:Sum r:(_ @('>>>' / '>>' / '<<') _ @Sum)* { return operatorChain(a, r); }
Sum = a:Product r:(_ @[+-] _ @Product)* { return operatorChain(a, r); }
Product = a:Unary r:(_ @[*/%] _ @Unary)* { return operatorChain(a, r); }
Unary = EnterNesting e:(op:$('-' / '+' / '!' !'=' / '~') _ a:Unary { return unary(op, a); } / Postfix)? LeaveNesting &{ return e !== null; }
  { return e; }
Postfix = of:Primary rest:(_ @(Select / Subscript))*
  {
    if (rest.length > maxOperatorsInRow) error(`more than ${maxOperatorsInRow} operators in a row`);
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
  / 'error'i !NameChar { return literal(errorValue('error')); }
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
