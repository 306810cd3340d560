#![allow(clippy::unwrap_used, clippy::float_cmp)]

use super::*;

#[test]
fn decimal_numbers_are_read() {
    for (text, per_second) in [
        ("1", 1.0),
        (" 0.2 ", 0.2),
        ("+50", 50.0),
        ("5000", 5_000.0),
        ("0", 0.0),
        ("0.00001", 0.001),
        ("99999999999999999999", 1_000_000.0),
    ] {
        assert_eq!(
            parse_rate_limit(text).unwrap().per_second(),
            per_second,
            "{text}"
        );
    }
}

#[test]
fn non_decimal_and_negative_rates_are_rejected() {
    for text in [
        "", " ", "nan", "inf", "1e300", "two", "1,5", "1 2", "--1", ".",
    ] {
        assert_eq!(
            parse_rate_limit(text),
            Err(RateParseError::NotDecimal),
            "{text}"
        );
    }
    assert_eq!(parse_rate_limit("-1"), Err(RateParseError::Negative));
}
