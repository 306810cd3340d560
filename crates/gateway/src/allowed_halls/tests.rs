use super::*;

fn texts(all: &[&str]) -> Vec<String> {
    all.iter().map(|one| (*one).to_owned()).collect()
}

fn halls() -> BTreeMap<String, String> {
    let halls = [("a1", "a"), ("a2", "a"), ("b1", "b"), ("c1", "c")];
    let halls = halls.map(|(hall, region)| (hall.to_owned(), region.to_owned()));
    halls.into()
}

#[test]
fn route_and_account_both_restrict_the_halls() {
    let cases: [(&[&str], &[&str], &[&str]); 5] = [
        (&[], &[], &["a1", "a2", "b1", "c1", "unknown"]),
        (&["a"], &[], &["a1", "a2"]),
        (&[], &["b", "c"], &["b1", "c1"]),
        (&["a", "b"], &["b", "c"], &["b1"]),
        (&["a"], &["b"], &[]),
    ];
    for (route, account, allowed) in cases {
        let allowed_halls = AllowedHalls::new(&halls(), &texts(route), &texts(account));
        for hall in ["a1", "a2", "b1", "c1", "unknown"] {
            let wanted = allowed.contains(&hall);
            assert_eq!(
                allowed_halls.allows(hall),
                wanted,
                "{route:?} {account:?} {hall}"
            );
        }
    }
}

#[test]
fn a_region_without_halls_allows_nothing() {
    let allowed_halls = AllowedHalls::new(&halls(), &texts(&["nowhere"]), &[]);
    assert!(halls().keys().all(|hall| !allowed_halls.allows(hall)));
    assert_eq!(
        AllowedHalls::from_names(allowed_halls.to_names()),
        allowed_halls
    );
}
