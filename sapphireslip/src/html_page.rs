//! Helpers for self-contained HTML pages.

/// Returns an HTML page with a title and a body; the body must be valid, escaped HTML.
///
/// ```
/// assert!(sapphireslip::html_page("a title", "<p>text</p>").contains("<title>a title</title>"));
/// ```
#[must_use]
pub fn html_page(title: &str, body: &str) -> String {
    format!(
        "<!doctype html>\n<html lang=\"en\">\n<meta charset=\"utf-8\">\n<title>{title}</title>\n\
         <style>body {{ font: 14px/1.4 sans-serif; margin: 1.5rem; color: #222; }} \
         pre {{ background: #f5f5f5; padding: .8rem; overflow-x: auto; }}</style>\n\
         <h1>{title}</h1>\n{body}\n</html>\n"
    )
}

/// Escapes the characters that have a meaning in HTML text and attribute values.
///
/// ```
/// assert_eq!(sapphireslip::escape_html("a < b"), "a &lt; b");
/// ```
#[must_use]
pub fn escape_html(text: &str) -> String {
    text.replace('&', "&amp;")
        .replace('<', "&lt;")
        .replace('>', "&gt;")
        .replace('"', "&quot;")
}
