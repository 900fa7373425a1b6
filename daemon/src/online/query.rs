//! Parsing of query strings.

/// Returns the decoded value of the first field named `name`.
pub(super) fn value(query: &str, name: &str) -> Option<String> {
    let mut fields = query.split('&').filter_map(|field| field.split_once('='));
    let (_, value) = fields.find(|(other, _)| *other == name)?;
    Some(decode(value))
}

/// Decodes `+` and percent escapes; invalid escapes are left unchanged.
fn decode(value: &str) -> String {
    let mut out = Vec::with_capacity(value.len());
    let mut rest = value.as_bytes();
    while let Some((&byte, tail)) = rest.split_first() {
        rest = tail;
        match (byte, tail) {
            (b'+', _) => out.push(b' '),
            (b'%', [high, low, after @ ..]) => match (hex(*high), hex(*low)) {
                (Some(high), Some(low)) => {
                    out.push(high << 4 | low);
                    rest = after;
                }
                _ => out.push(byte),
            },
            _ => out.push(byte),
        }
    }
    String::from_utf8_lossy(&out).into_owned()
}

fn hex(digit: u8) -> Option<u8> {
    let value = char::from(digit).to_digit(16)?;
    u8::try_from(value).ok()
}
