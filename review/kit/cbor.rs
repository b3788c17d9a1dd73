//! The subset of CBOR that the interfaces use: maps keyed by text, lists, text, numbers, booleans
//! and null.

/// A value.
#[derive(Clone, Debug, PartialEq)]
pub enum Value {
    Null,
    Bool(bool),
    Int(i128),
    Float(f64),
    Text(String),
    List(Vec<Value>),
    Map(Vec<(String, Value)>),
}

pub use Value::{Bool, Float, Int, List, Map, Null, Text};

/// A text value.
pub fn text(s: &str) -> Value {
    Text(s.to_owned())
}

/// A map from pairs.
pub fn map(fields: &[(&str, Value)]) -> Value {
    Map(fields.iter().map(|(k, v)| ((*k).to_owned(), v.clone())).collect())
}

impl Value {
    /// The field of a map.
    pub fn get(&self, key: &str) -> Option<&Value> {
        match self {
            Map(fields) => fields.iter().find(|(k, _)| k == key).map(|(_, v)| v),
            _ => None,
        }
    }

    /// The field of a map as text; empty if there is none.
    pub fn str(&self, key: &str) -> &str {
        match self.get(key) {
            Some(Text(s)) => s,
            _ => "",
        }
    }

    /// The field of a map as an integer; 0 if there is none.
    pub fn int(&self, key: &str) -> u64 {
        match self.get(key) {
            Some(Int(n)) => *n as u64,
            Some(Float(f)) => *f as u64,
            _ => 0,
        }
    }

    /// The field of a map as a boolean.
    pub fn flag(&self, key: &str) -> bool {
        self.get(key) == Some(&Bool(true))
    }

    /// The field of a map as a list; empty if there is none.
    pub fn list(&self, key: &str) -> &[Value] {
        match self.get(key) {
            Some(List(items)) => items,
            _ => &[],
        }
    }

    /// Length as JSON, bytes: the form in which size limits are counted.
    pub fn json_len(&self) -> usize {
        match self {
            Null => 4,
            Bool(b) => 5 - usize::from(*b),
            Int(n) => n.to_string().len(),
            Float(f) => format!("{f:?}").len(),
            Text(s) => s.len() + 2,
            List(items) => {
                2 + items.iter().map(|v| v.json_len() + 1).sum::<usize>().saturating_sub(1)
            }
            Map(fields) => {
                let len = |(k, v): &(String, Value)| k.len() + 3 + v.json_len() + 1;
                2 + fields.iter().map(len).sum::<usize>().saturating_sub(1)
            }
        }
    }

    /// Encodes the value.
    pub fn encode(&self) -> Vec<u8> {
        let mut out = Vec::new();
        self.write(&mut out);
        out
    }

    fn write(&self, out: &mut Vec<u8>) {
        match self {
            Null => out.push(0xf6),
            Bool(b) => out.push(0xf4 + u8::from(*b)),
            Int(n) if *n >= 0 => head(0, *n as u64, out),
            Int(n) => head(1, (-1 - *n) as u64, out),
            Float(f) => {
                out.push(0xfb);
                out.extend(f.to_bits().to_be_bytes());
            }
            Text(s) => {
                head(3, s.len() as u64, out);
                out.extend(s.as_bytes());
            }
            List(items) => {
                head(4, items.len() as u64, out);
                items.iter().for_each(|v| v.write(out));
            }
            Map(fields) => {
                head(5, fields.len() as u64, out);
                for (k, v) in fields {
                    text(k).write(out);
                    v.write(out);
                }
            }
        }
    }

    /// Decodes a value; null if the bytes aren't one.
    pub fn decode(bytes: &[u8]) -> Value {
        let mut at = 0;
        read(bytes, &mut at).unwrap_or(Null)
    }
}

fn head(major: u8, n: u64, out: &mut Vec<u8>) {
    let major = major << 5;
    if n < 24 {
        out.push(major | n as u8);
    } else if n <= 0xff {
        out.extend([major | 24, n as u8]);
    } else if n <= 0xffff {
        out.push(major | 25);
        out.extend((n as u16).to_be_bytes());
    } else if n <= 0xffff_ffff {
        out.push(major | 26);
        out.extend((n as u32).to_be_bytes());
    } else {
        out.push(major | 27);
        out.extend(n.to_be_bytes());
    }
}

fn take<'a>(bytes: &'a [u8], at: &mut usize, n: usize) -> Option<&'a [u8]> {
    let part = bytes.get(*at..at.checked_add(n)?)?;
    *at += n;
    Some(part)
}

fn uint(bytes: &[u8], at: &mut usize, n: usize) -> Option<u64> {
    Some(take(bytes, at, n)?.iter().fold(0, |sum, b| sum << 8 | u64::from(*b)))
}

fn half(bits: u16) -> f64 {
    let (exponent, mantissa) = (i32::from(bits >> 10 & 0x1f), f64::from(bits & 0x3ff));
    let size = match exponent {
        0 => mantissa * 2f64.powi(-24),
        31 => f64::INFINITY,
        _ => (1.0 + mantissa / 1024.0) * 2f64.powi(exponent - 15),
    };
    if bits >> 15 == 1 { -size } else { size }
}

fn read(bytes: &[u8], at: &mut usize) -> Option<Value> {
    let first = *take(bytes, at, 1)?.first()?;
    let (major, low) = (first >> 5, first & 0x1f);
    if major == 7 {
        return Some(match low {
            20 => Bool(false),
            21 => Bool(true),
            25 => Float(half(uint(bytes, at, 2)? as u16)),
            26 => Float(f64::from(f32::from_bits(uint(bytes, at, 4)? as u32))),
            27 => Float(f64::from_bits(uint(bytes, at, 8)?)),
            _ => Null,
        });
    }
    let n = match low {
        0..=23 => u64::from(low),
        24 => uint(bytes, at, 1)?,
        25 => uint(bytes, at, 2)?,
        26 => uint(bytes, at, 4)?,
        27 => uint(bytes, at, 8)?,
        _ => return None,
    };
    Some(match major {
        0 => Int(i128::from(n)),
        1 => Int(-1 - i128::from(n)),
        2 | 3 => Text(String::from_utf8_lossy(take(bytes, at, n as usize)?).into_owned()),
        4 => List((0..n).map(|_| read(bytes, at)).collect::<Option<_>>()?),
        5 => {
            let mut fields = Vec::new();
            for _ in 0..n {
                let Text(key) = read(bytes, at)? else { return None };
                fields.push((key, read(bytes, at)?));
            }
            Map(fields)
        }
        _ => return None,
    })
}
