use super::*;

/// Guards against a target that is told more time than the caller has left, because the connection
/// took long to open.
#[test]
fn the_time_left_is_that_of_the_moment_of_sending() {
    let header = HeaderName::from_static("deadline-ms");
    let mut request = Request::new(());
    request
        .headers_mut()
        .insert(&header, HeaderValue::from(700));
    request.extensions_mut().insert(SendDeadline {
        header: header.clone(),
        deadline: Instant::now(),
    });
    SendDeadline::refresh(&mut request);
    assert_eq!(request.headers()[&header], "0");
}
