//! A small CBOR codec: maps keyed by text, lists, text, numbers, booleans and null.

/// A CBOR value.
#[derive(Clone, Debug, PartialEq)]
pub enum V {
    Null,
    Bool(bool),
    Int(i128),
    Float(f64),
    Text(String),
    List(Vec<V>),
    Map(Vec<(V, V)>),
}

impl V {
    pub fn get(&self, key: &str) -> Option<&V> {
        let V::Map(entries) = self else { return None };
        let found = entries.iter().find(|(k, _)| matches!(k, V::Text(t) if t == key));
        found.map(|(_, v)| v).filter(|v| **v != V::Null)
    }
    pub fn str(&self, key: &str) -> Option<&str> {
        match self.get(key) {
            Some(V::Text(t)) => Some(t),
            _ => None,
        }
    }
    pub fn num(&self, key: &str) -> Option<f64> {
        match self.get(key) {
            Some(V::Int(i)) => Some(*i as f64),
            Some(V::Float(f)) => Some(*f),
            _ => None,
        }
    }
    pub fn int(&self, key: &str) -> Option<u64> {
        match self.get(key) {
            Some(V::Int(i)) => u64::try_from(*i).ok(),
            Some(V::Float(f)) => Some(*f as u64),
            _ => None,
        }
    }
    pub fn flag(&self, key: &str) -> bool {
        matches!(self.get(key), Some(V::Bool(true)))
    }
    pub fn list(&self, key: &str) -> &[V] {
        match self.get(key) {
            Some(V::List(l)) => l,
            _ => &[],
        }
    }
}

/// Builds a map.
pub fn map<const N: usize>(entries: [(&str, V); N]) -> V {
    V::Map(entries.into_iter().map(|(k, v)| (t(k), v)).collect())
}
pub fn t(s: &str) -> V {
    V::Text(s.to_owned())
}
pub fn i(n: u64) -> V {
    V::Int(i128::from(n))
}

fn head(major: u8, n: u64, out: &mut Vec<u8>) {
    let m = major << 5;
    if n < 24 {
        out.push(m | n as u8);
    } else if n <= 0xff {
        out.extend([m | 24, n as u8]);
    } else if n <= 0xffff {
        out.push(m | 25);
        out.extend((n as u16).to_be_bytes());
    } else if n <= 0xffff_ffff {
        out.push(m | 26);
        out.extend((n as u32).to_be_bytes());
    } else {
        out.push(m | 27);
        out.extend(n.to_be_bytes());
    }
}

pub fn encode_into(v: &V, out: &mut Vec<u8>) {
    match v {
        V::Null => out.push(0xf6),
        V::Bool(b) => out.push(if *b { 0xf5 } else { 0xf4 }),
        V::Int(n) if *n >= 0 => head(0, *n as u64, out),
        V::Int(n) => head(1, (-1 - *n) as u64, out),
        V::Float(f) => {
            out.push(0xfb);
            out.extend(f.to_be_bytes());
        }
        V::Text(s) => {
            head(3, s.len() as u64, out);
            out.extend(s.as_bytes());
        }
        V::List(l) => {
            head(4, l.len() as u64, out);
            l.iter().for_each(|x| encode_into(x, out));
        }
        V::Map(m) => {
            head(5, m.len() as u64, out);
            for (k, x) in m {
                encode_into(k, out);
                encode_into(x, out);
            }
        }
    }
}

pub fn encode(v: &V) -> Vec<u8> {
    let mut out = Vec::new();
    encode_into(v, &mut out);
    out
}

pub fn decode(bytes: &[u8]) -> Option<V> {
    let mut at = 0;
    let v = item(bytes, &mut at)?;
    (at == bytes.len()).then_some(v)
}

fn take<'a>(b: &'a [u8], at: &mut usize, n: usize) -> Option<&'a [u8]> {
    let s = b.get(*at..at.checked_add(n)?)?;
    *at += n;
    Some(s)
}

fn half(bits: u16) -> f64 {
    let (e, m) = (i32::from(bits >> 10 & 0x1f), f64::from(bits & 0x3ff));
    let v = match e {
        0 => m * 2f64.powi(-24),
        31 if m == 0.0 => f64::INFINITY,
        31 => f64::NAN,
        _ => (m + 1024.0) * 2f64.powi(e - 25),
    };
    if bits & 0x8000 != 0 {
        -v
    } else {
        v
    }
}

fn item(b: &[u8], at: &mut usize) -> Option<V> {
    let first = take(b, at, 1)?[0];
    let (major, low) = (first >> 5, first & 31);
    if major == 7 {
        return Some(match low {
            20 => V::Bool(false),
            21 => V::Bool(true),
            22 | 23 => V::Null,
            25 => V::Float(half(u16::from_be_bytes(take(b, at, 2)?.try_into().ok()?))),
            26 => V::Float(f64::from(f32::from_be_bytes(take(b, at, 4)?.try_into().ok()?))),
            27 => V::Float(f64::from_be_bytes(take(b, at, 8)?.try_into().ok()?)),
            _ => return None,
        });
    }
    let open = low == 31;
    let n: u64 = match low {
        0..=23 => u64::from(low),
        24 => u64::from(take(b, at, 1)?[0]),
        25 => u64::from(u16::from_be_bytes(take(b, at, 2)?.try_into().ok()?)),
        26 => u64::from(u32::from_be_bytes(take(b, at, 4)?.try_into().ok()?)),
        27 => u64::from_be_bytes(take(b, at, 8)?.try_into().ok()?),
        31 => 0,
        _ => return None,
    };
    let ended = |at: &mut usize, done: u64| {
        if open {
            let end = b.get(*at) == Some(&0xff);
            *at += usize::from(end);
            end
        } else {
            done == n
        }
    };
    match major {
        0 => Some(V::Int(i128::from(n))),
        1 => Some(V::Int(-1 - i128::from(n))),
        3 if !open => Some(V::Text(String::from_utf8(take(b, at, n as usize)?.to_vec()).ok()?)),
        4 => {
            let mut l = Vec::new();
            while !ended(at, l.len() as u64) {
                l.push(item(b, at)?);
            }
            Some(V::List(l))
        }
        5 => {
            let mut m = Vec::new();
            while !ended(at, m.len() as u64) {
                let k = item(b, at)?;
                m.push((k, item(b, at)?));
            }
            Some(V::Map(m))
        }
        _ => None,
    }
}
