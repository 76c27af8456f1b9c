//! JSON parsing with tinyjson under a limit on nesting, and helpers to read fields.

use thiserror::Error;
pub use tinyjson::JsonValue;

/// Largest nesting depth that is accepted. The parser recurses, so without a limit a peer could exhaust the
/// stack with brackets alone.
const MAX_DEPTH: usize = 32;

/// Reason why a text is not accepted as JSON.
#[derive(Debug, Error)]
pub enum JsonError {
    /// The bytes are not UTF-8.
    #[error("not UTF-8")]
    NotUtf8,
    /// The text is nested too deeply.
    #[error("nested deeper than {MAX_DEPTH} levels")]
    TooDeep,
    /// The text is not valid JSON.
    #[error(transparent)]
    Syntax(#[from] tinyjson::JsonParseError),
}

/// Parses a JSON text.
///
/// # Errors
/// Returns an error if the text is not valid JSON, or nested deeper than 32 levels.
pub fn parse(text: &[u8]) -> Result<JsonValue, JsonError> {
    let text = std::str::from_utf8(text).map_err(|_| JsonError::NotUtf8)?;
    // Checked before parsing, since the parser recurses.
    if is_too_deep(text) {
        return Err(JsonError::TooDeep);
    }
    Ok(text.parse()?)
}

/// Whether brackets outside of strings are nested deeper than `MAX_DEPTH`.
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

/// Returns a field of an object; `None` if it is absent or null, or if the value is not an object.
pub fn field<'a>(value: &'a JsonValue, name: &str) -> Option<&'a JsonValue> {
    let object: &std::collections::HashMap<String, JsonValue> = value.get()?;
    object.get(name).filter(|value| !value.is_null())
}

/// Returns a field that is a finite number.
pub fn number(value: &JsonValue, name: &str) -> Option<f64> {
    field(value, name)?.get::<f64>().copied().filter(|number| number.is_finite())
}

/// Returns a field that is a string.
pub fn text<'a>(value: &'a JsonValue, name: &str) -> Option<&'a str> {
    field(value, name)?.get::<String>().map(String::as_str)
}

/// Returns a boolean field; an absent one counts as false.
pub fn flag(value: &JsonValue, name: &str) -> bool {
    field(value, name).and_then(|value| value.get::<bool>()).copied().unwrap_or(false)
}

/// Returns a list field; an absent one counts as empty.
pub fn list<'a>(value: &'a JsonValue, name: &str) -> &'a [JsonValue] {
    field(value, name).and_then(|value| value.get::<Vec<JsonValue>>()).map_or(&[], Vec::as_slice)
}

/// Returns the strings of a list field.
pub fn texts(value: &JsonValue, name: &str) -> Vec<String> {
    list(value, name).iter().filter_map(|value| value.get::<String>().cloned()).collect()
}
