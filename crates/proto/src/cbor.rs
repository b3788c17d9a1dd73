//! CBOR encoding and decoding. Senders may encode an amount as an integer or as a float of
//! any width, so every floating-point field is decoded with [`f64_from_number`].

use ciborium::Value;
use serde::{Deserialize, Deserializer, Serialize, de::DeserializeOwned, de::Error as _};

/// A message body or record that could not be decoded, with the decoder's message.
#[derive(Debug, thiserror::Error)]
#[error("bad cbor: {0}")]
pub struct CborError(String);

/// Maximum nesting depth of a decoded body. Valid messages are nearly flat, and the decoder
/// uses stack space for each level.
const MAX_DEPTH: usize = 16;

/// Decodes a body. Trailing bytes and nesting deeper than `MAX_DEPTH` levels are errors.
pub fn decode<T: DeserializeOwned>(bytes: &[u8]) -> Result<T, CborError> {
    let mut rest = bytes;
    let value = ciborium::de::from_reader_with_recursion_limit(&mut rest, MAX_DEPTH)
        .map_err(|e| CborError(e.to_string()))?;
    if rest.is_empty() { Ok(value) } else { Err(CborError("trailing bytes".into())) }
}

/// Encodes a body. All types of this crate can be expressed in CBOR; a failure panics in
/// debug builds and yields an empty body otherwise.
pub fn encode<T: Serialize>(value: &T) -> Vec<u8> {
    let mut out = Vec::with_capacity(256);
    if let Err(e) = ciborium::into_writer(value, &mut out) {
        debug_assert!(false, "unencodable body: {e}");
        out.clear();
    }
    out
}

/// Converts a record to a CBOR value for the state service; null if it can't be expressed.
pub fn to_value<T: Serialize>(value: &T) -> Value {
    Value::serialized(value).unwrap_or(Value::Null)
}

/// Decodes a record from a value of the state service.
pub fn from_value<T: DeserializeOwned>(value: &Value) -> Result<T, CborError> {
    value.deserialized().map_err(|e| CborError(e.to_string()))
}

/// Length of a value encoded as JSON, in bytes. The protocol defines the size limits of the
/// state service in terms of this encoding.
pub fn json_len(value: &Value) -> usize {
    let mut counter = ByteCounter(0);
    // Records have text keys only, as JSON requires; any other value exceeds every limit.
    match serde_json::to_writer(&mut counter, value) {
        Ok(()) => counter.0,
        Err(_) => usize::MAX,
    }
}

/// Upper bound on the length of a string encoded as JSON, quotes included, in bytes. Never
/// less than [`json_len`], and computed without encoding the string.
pub fn json_text_len_bound(text: &str) -> usize {
    let plain = |c: char| c.is_ascii_graphic() && c != '"' && c != '\\';
    let length = |c: char| if plain(c) { 1 } else { JSON_ESCAPE_LEN };
    text.chars().map(length).sum::<usize>() + 2
}

/// Upper bound on the bytes of one character in a JSON string: the escape `\u0000`.
const JSON_ESCAPE_LEN: usize = 6;

/// A writer that discards its input and counts the bytes.
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

/// Converts a CBOR integer or float to `f64`; `None` for any other type.
pub fn as_f64(v: &Value) -> Option<f64> {
    match v {
        Value::Float(f) => Some(*f),
        Value::Integer(i) => Some(i128::from(*i) as f64),
        _ => None,
    }
}

/// Serde helper: decodes a float that may have been encoded as an integer.
pub fn f64_from_number<'de, D: Deserializer<'de>>(d: D) -> Result<f64, D::Error> {
    let v = Value::deserialize(d)?;
    as_f64(&v).ok_or_else(|| D::Error::custom("expected a number"))
}

/// Serde helper: like [`f64_from_number`], but null decodes as `None`.
pub fn opt_f64_from_number<'de, D: Deserializer<'de>>(d: D) -> Result<Option<f64>, D::Error> {
    let v = Value::deserialize(d)?;
    match v {
        Value::Null => Ok(None),
        v => as_f64(&v).map(Some).ok_or_else(|| D::Error::custom("expected a number or null")),
    }
}
