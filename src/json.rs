//! Reading of JSON: tinyjson behind a bound on nesting, and short ways to its fields.

pub use tinyjson::JsonValue;

/// Deepest nesting that is read.
const DEPTH: usize = 32;

/// Parses a text.
///
/// The parser recurses, so that a peer could spend the stack with brackets alone: nesting is counted first.
pub fn parse(text: &[u8]) -> Result<JsonValue, String> {
    let text = std::str::from_utf8(text).map_err(|_| "not UTF-8".to_string())?;
    let (mut depth, mut quoted, mut escaped) = (0usize, false, false);
    for byte in text.bytes() {
        match byte {
            _ if escaped => escaped = false,
            b'\\' if quoted => escaped = true,
            b'"' => quoted = !quoted,
            b'[' | b'{' if !quoted => depth += 1,
            b']' | b'}' if !quoted => depth = depth.saturating_sub(1),
            _ => {}
        }
        if depth > DEPTH {
            return Err(format!("nested deeper than {DEPTH}"));
        }
    }
    text.parse().map_err(|e| format!("{e}"))
}

/// A field of an object; none where it is absent, null, or this is no object.
pub fn field<'a>(value: &'a JsonValue, name: &str) -> Option<&'a JsonValue> {
    let object: &std::collections::HashMap<String, JsonValue> = value.get()?;
    object.get(name).filter(|v| !v.is_null())
}

/// A number, where the field is one.
pub fn number(value: &JsonValue, name: &str) -> Option<f64> {
    field(value, name)?.get::<f64>().copied().filter(|n| n.is_finite())
}

/// A text, where the field is one.
pub fn text<'a>(value: &'a JsonValue, name: &str) -> Option<&'a str> {
    field(value, name)?.get::<String>().map(String::as_str)
}

/// A flag; absent counts as false.
pub fn flag(value: &JsonValue, name: &str) -> bool {
    field(value, name).and_then(|v| v.get::<bool>()).copied().unwrap_or(false)
}

/// A list; absent counts as empty.
pub fn list<'a>(value: &'a JsonValue, name: &str) -> &'a [JsonValue] {
    field(value, name).and_then(|v| v.get::<Vec<JsonValue>>()).map_or(&[], Vec::as_slice)
}

/// The texts of a list.
pub fn texts(value: &JsonValue, name: &str) -> Vec<String> {
    list(value, name).iter().filter_map(|v| v.get::<String>().cloned()).collect()
}
