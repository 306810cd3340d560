use super::*;

/// Guards against texts of callers and targets that add keys or lines to the log.
#[test]
fn texts_of_others_are_one_bounded_word() {
    let long = "7".repeat(100);
    let cases = [
        ("", "-"),
        ("41", "41"),
        ("4 outcome=answered", "4?outcome=answered"),
        ("4\nevent=403", "4?event=403"),
        ("4\u{1b}[2J\u{e9}", "4?[2J?"),
        (long.as_str(), &long[..MAX_TEXT_CHARS]),
    ];
    for (text, logged) in cases {
        assert_eq!(LogText(text).to_string(), logged, "{text:?}");
    }
}
