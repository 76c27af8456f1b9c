//! Reading of JSON: tinyjson behind a bound on nesting, and short ways to its fields.

use thiserror::Error;
pub use tinyjson::JsonValue;

/// Deepest nesting that is read. The parser recurses: a peer could exhaust the stack with brackets alone.
const MAX_DEPTH: usize = 32;

/// Why a text is no JSON.
#[derive(Debug, Error)]
pub enum JsonError {
    /// It is no text.
    #[error("not UTF-8")]
    NotUtf8,
    /// It is nested deeper than is read.
    #[error("nested deeper than {MAX_DEPTH}")]
    TooDeep,
    /// The parser refuses it.
    #[error(transparent)]
    Syntax(#[from] tinyjson::JsonParseError),
}

/// Parses a text.
///
/// # Errors
/// Where it is no JSON, or nested deeper than 32.
pub fn parse(text: &[u8]) -> Result<JsonValue, JsonError> {
    let text = std::str::from_utf8(text).map_err(|_| JsonError::NotUtf8)?;
    // Counted first, since the parser recurses.
    if is_too_deep(text) {
        return Err(JsonError::TooDeep);
    }
    Ok(text.parse()?)
}

/// Whether brackets outside of strings are nested deeper than is read.
fn is_too_deep(text: &str) -> bool {
    let mut depth = 0_usize;
    let (mut in_string, mut is_escaped) = (false, false);
    for byte in text.bytes() {
        match byte {
            _ if is_escaped => is_escaped = false,
            b'\\' if in_string => is_escaped = true,
            b'"' => in_string = !in_string,
            b'[' | b'{' if !in_string => depth += 1,
            b']' | b'}' if !in_string => depth = depth.saturating_sub(1),
            _ => {}
        }
        if depth > MAX_DEPTH {
            return true;
        }
    }
    false
}

/// A field of an object; none where it is absent or null, or where this is no object.
pub fn field<'a>(value: &'a JsonValue, name: &str) -> Option<&'a JsonValue> {
    let object: &std::collections::HashMap<String, JsonValue> = value.get()?;
    object.get(name).filter(|value| !value.is_null())
}

/// A field that is a finite number.
pub fn number(value: &JsonValue, name: &str) -> Option<f64> {
    field(value, name)?.get::<f64>().copied().filter(|number| number.is_finite())
}

/// A field that is a string.
pub fn text<'a>(value: &'a JsonValue, name: &str) -> Option<&'a str> {
    field(value, name)?.get::<String>().map(String::as_str)
}

/// A field that is a boolean; absent counts as false.
pub fn flag(value: &JsonValue, name: &str) -> bool {
    field(value, name).and_then(|value| value.get::<bool>()).copied().unwrap_or(false)
}

/// A field that is a list; absent counts as empty.
pub fn list<'a>(value: &'a JsonValue, name: &str) -> &'a [JsonValue] {
    field(value, name).and_then(|value| value.get::<Vec<JsonValue>>()).map_or(&[], Vec::as_slice)
}

/// The strings of a list.
pub fn texts(value: &JsonValue, name: &str) -> Vec<String> {
    list(value, name).iter().filter_map(|value| value.get::<String>().cloned()).collect()
}
