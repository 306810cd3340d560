use std::cell::Cell;
use std::rc::Rc;

use super::*;

/// What happens to the connections of an address, in order.
#[derive(Debug, Clone, Copy)]
enum Step {
    /// A direct connection with this number is opened.
    Open(usize),
    /// A connection through another host is opened.
    OpenTunnel(usize),
    /// A connection ends.
    End(usize),
    /// The request is sent on connection 0.
    Send,
    /// The end of the response is seen.
    Judge,
}

use Step::{End, Judge, Open, OpenTunnel, Send};

#[derive(Clone)]
struct Watch {
    is_open: Rc<Cell<bool>>,
    is_exact: bool,
}

fn address() -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], 9_000))
}

fn other_host() -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 2], 9_200))
}

/// Returns whether the response on connection 0 has a sibling after the steps.
fn has_sibling(steps: &[Step]) -> bool {
    let mut table = LifeTable::new(|one: &Watch| one.is_open.get(), |one| one.is_exact);
    let mut opened: Vec<Option<(ConnectionLife, Watch)>> = vec![None; 4];
    let (mut sent_before, mut ended_before) = (None, None);
    for step in steps {
        match *step {
            Open(number) | OpenTunnel(number) => {
                let is_exact = matches!(step, Open(_));
                let is_open = Rc::new(Cell::new(true));
                let watch = Watch { is_open, is_exact };
                let peer = (!is_exact).then(other_host);
                opened[number] = Some((table.add(address(), peer, watch.clone()), watch));
            }
            End(number) => {
                let (_, watch) = opened[number].as_ref().expect("an opened connection");
                watch.is_open.set(false);
            }
            Send => sent_before = Some(table.next_connection()),
            Judge => ended_before = Some(table.next_connection()),
        }
    }
    let (on, _) = opened[0].as_ref().expect("a connection");
    let exchange = ExchangeKey {
        on: *on,
        sent_before: sent_before.expect("a request"),
    };
    let ended_before = ended_before.unwrap_or_else(|| table.next_connection());
    table.has_sibling(address(), exchange, ended_before)
}

#[test]
fn only_a_process_that_kept_a_connection_open_is_known_to_run_on() {
    let cases: &[(&str, &[Step], bool)] = &[
        ("no other connection", &[Open(0), Send], false),
        (
            "only its own, still open",
            &[Open(0), Send, Open(1), End(1)],
            false,
        ),
        (
            "one from before the request",
            &[Open(1), Open(0), Send, End(0)],
            true,
        ),
        (
            "one from before the request that ended as well",
            &[Open(1), Open(0), Send, End(0), End(1)],
            false,
        ),
        (
            "one from during the response",
            &[Open(0), Send, Open(1), End(0)],
            true,
        ),
        (
            "only the connection of a successor",
            &[Open(0), Send, End(0), Open(1)],
            false,
        ),
        (
            "the connection of a successor, after all others ended",
            &[
                Open(1),
                Open(0),
                Send,
                Open(2),
                End(1),
                End(2),
                End(0),
                Open(3),
            ],
            false,
        ),
        (
            "a replacement opened while the response lasted",
            &[Open(1), Open(0), Send, End(1), Open(2), End(0)],
            true,
        ),
        (
            "a replacement that was opened before the end was seen",
            &[Open(1), Open(0), Send, End(0), Open(2), End(1), Judge],
            true,
        ),
        (
            "a replacement after the end was seen, beside a sibling whose end is late",
            &[Open(1), Open(0), Send, End(0), Judge, Open(2), End(1)],
            false,
        ),
        (
            "a replacement after both ended",
            &[Open(1), Open(0), Send, End(0), End(1), Open(2)],
            false,
        ),
        (
            "a tunnel from before the request, whose own end may not have arrived",
            &[OpenTunnel(1), Open(0), Send, End(0)],
            false,
        ),
        (
            "a direct connection whose path is lost, beside a response over a tunnel",
            &[Open(1), OpenTunnel(0), Send, End(0)],
            false,
        ),
        (
            "a tunnel for a response over a tunnel",
            &[OpenTunnel(1), OpenTunnel(0), Send, End(0)],
            true,
        ),
        (
            "a tunnel whose end is late does not continue a life",
            &[Open(0), Send, OpenTunnel(1), End(0), Open(2), End(1)],
            false,
        ),
        (
            "a successor beside a response over a tunnel whose end is late",
            &[OpenTunnel(0), Send, Open(1), End(0)],
            false,
        ),
    ];
    for (name, steps, expected) in cases {
        assert_eq!(has_sibling(steps), *expected, "{name}");
    }
}

#[test]
fn connections_to_other_addresses_are_no_siblings() {
    let mut table = LifeTable::new(|_: &()| true, |_| true);
    let other = SocketAddr::from(([127, 0, 0, 1], 9_001));
    table.add(other, None, ());
    let on = table.add(address(), None, ());
    let next = table.next_connection();
    let exchange = ExchangeKey {
        on,
        sent_before: next,
    };
    assert!(!table.has_sibling(address(), exchange, next));
}

#[test]
fn an_address_is_forgotten_once_its_connections_have_ended() {
    let mut table = LifeTable::new(Cell::get, |_: &Cell<bool>| true);
    table.add(address(), None, Cell::new(true));
    table.retain(|_| false);
    assert_eq!(table.by_address.len(), 1);
    table.by_address[&address()][0].watch.set(false);
    table.retain(|_| false);
    assert!(table.by_address.is_empty());
}
