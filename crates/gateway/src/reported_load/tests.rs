use http::HeaderValue;

use super::*;

fn read(value: &'static str) -> Option<ReportedLoad> {
    let name = HeaderName::from_static("load");
    let mut headers = HeaderMap::new();
    headers.insert(&name, HeaderValue::from_static(value));
    ReportedLoad::read(&headers, &name)
}

#[test]
fn only_three_numbers_are_a_valid_load() {
    let load = |running, waiting| Some(ReportedLoad { running, waiting });
    assert_eq!(read("3,0,8"), load(3, 0));
    assert_eq!(read(" 1, 2 ,1"), load(1, 2));
    for wrong in ["", "3", "3,0", "3,,8", "a,0,1", "-1,0,1", "1,0,x"] {
        assert_eq!(read(wrong), None, "{wrong}");
    }
}
