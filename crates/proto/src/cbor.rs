//! CBOR helpers. Amounts may come as integers or floats of any width, so every
//! floating field goes through [`f64_lax`].

use ciborium::Value;
use serde::{Deserialize, Deserializer, Serialize, de::DeserializeOwned, de::Error as _};

/// A body that is not the CBOR that was expected.
#[derive(Debug, thiserror::Error)]
#[error("bad cbor: {0}")]
pub struct CborError(String);

/// Nesting allowed in a body: ours are flat, and recursion costs stack.
const MAX_DEPTH: usize = 16;

/// Decodes a body, refusing trailing bytes and deep nesting.
pub fn decode<T: DeserializeOwned>(bytes: &[u8]) -> Result<T, CborError> {
    let mut rest = bytes;
    let value = ciborium::de::from_reader_with_recursion_limit(&mut rest, MAX_DEPTH)
        .map_err(|e| CborError(e.to_string()))?;
    if rest.is_empty() { Ok(value) } else { Err(CborError("trailing bytes".into())) }
}

/// Encodes a body. Our types hold nothing that CBOR can't express.
pub fn encode<T: Serialize>(value: &T) -> Vec<u8> {
    let mut out = Vec::with_capacity(256);
    if let Err(e) = ciborium::into_writer(value, &mut out) {
        debug_assert!(false, "unencodable body: {e}");
        out.clear();
    }
    out
}

/// Turns a record into a CBOR value for the state service.
pub fn to_value<T: Serialize>(value: &T) -> Value {
    Value::serialized(value).unwrap_or(Value::Null)
}

/// Reads a record out of a value of the state service.
pub fn from_value<T: DeserializeOwned>(value: &Value) -> Result<T, CborError> {
    value.deserialized().map_err(|e| CborError(e.to_string()))
}

/// Length of a value written as JSON, bytes: the form in which the protocol page counts the
/// state service's size limits.
pub fn json_len(value: &Value) -> usize {
    let mut counter = ByteCounter(0);
    // Our records have text keys only, which JSON can express; anything else counts as huge.
    match serde_json::to_writer(&mut counter, value) {
        Ok(()) => counter.0,
        Err(_) => usize::MAX,
    }
}

/// Length of a text written as JSON with its quotes, bytes, at most: no shorter than
/// [`json_len`] says, and found without writing it.
pub fn json_text_len(text: &str) -> usize {
    let plain = |c: char| c.is_ascii_graphic() && c != '"' && c != '\\';
    let length = |c: char| if plain(c) { 1 } else { JSON_ESCAPE_LEN };
    text.chars().map(length).sum::<usize>() + 2
}

/// Most bytes of a character of a JSON text, as `\u0000`.
const JSON_ESCAPE_LEN: usize = 6;

/// Counts the bytes written to it.
struct ByteCounter(usize);

impl std::io::Write for ByteCounter {
    fn write(&mut self, bytes: &[u8]) -> std::io::Result<usize> {
        self.0 += bytes.len();
        Ok(bytes.len())
    }

    fn flush(&mut self) -> std::io::Result<()> {
        Ok(())
    }
}

/// A number as `f64`, whatever its CBOR type.
pub fn number(v: &Value) -> Option<f64> {
    match v {
        Value::Float(f) => Some(*f),
        Value::Integer(i) => Some(i128::from(*i) as f64),
        _ => None,
    }
}

/// Serde helper: a float that may have been sent as an integer.
pub fn f64_lax<'de, D: Deserializer<'de>>(d: D) -> Result<f64, D::Error> {
    let v = Value::deserialize(d)?;
    number(&v).ok_or_else(|| D::Error::custom("expected a number"))
}

/// Serde helper: as [`f64_lax`], null or absent allowed.
pub fn opt_f64_lax<'de, D: Deserializer<'de>>(d: D) -> Result<Option<f64>, D::Error> {
    let v = Value::deserialize(d)?;
    match v {
        Value::Null => Ok(None),
        v => number(&v).map(Some).ok_or_else(|| D::Error::custom("expected a number or null")),
    }
}
