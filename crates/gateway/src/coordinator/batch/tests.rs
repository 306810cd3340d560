use std::cell::RefCell;
use std::rc::Rc;

use super::*;

type Replied = Rc<RefCell<Vec<Vec<PieceOutcome>>>>;

fn book(count: usize) -> (BatchBook, BatchKey, Replied) {
    let mut book = BatchBook::default();
    let replied: Replied = Rc::default();
    let sink = replied.clone();
    let key = book.begin(
        count,
        Box::new(move |outcomes| sink.borrow_mut().push(outcomes)),
    );
    (book, key, replied)
}

fn handle(name: &str) -> PieceOutcome {
    Ok(name.to_owned())
}

/// Ends a copy and answers where the batch is complete; returns a result that nobody wants.
fn end(
    book: &mut BatchBook,
    batch: BatchKey,
    place: usize,
    outcome: PieceOutcome,
) -> Option<String> {
    match book.end_copy(PieceKey { batch, place }, outcome) {
        CopyEnd::Noted => None,
        CopyEnd::Unclaimed(handle) => Some(handle),
        CopyEnd::Complete(reply, outcomes) => {
            reply(outcomes);
            None
        }
    }
}

#[test]
fn a_batch_is_answered_once_in_the_order_of_its_pieces() {
    let (mut book, key, replied) = book(2);
    assert_eq!(end(&mut book, key, 1, handle("b")), None);
    assert!(replied.borrow().is_empty());
    assert_eq!(end(&mut book, key, 0, handle("a")), None);
    assert_eq!(*replied.borrow(), [[handle("a"), handle("b")]]);
}

#[test]
fn the_first_result_of_two_copies_counts_and_the_other_is_released() {
    let (mut book, key, replied) = book(2);
    book.add_copy(PieceKey {
        batch: key,
        place: 0,
    });
    assert_eq!(end(&mut book, key, 0, handle("quick")), None);
    let slow = end(&mut book, key, 0, handle("slow"));
    assert_eq!(slow.as_deref(), Some("slow"));
    end(&mut book, key, 1, handle("other"));
    assert_eq!(*replied.borrow(), [[handle("quick"), handle("other")]]);
    let late = end(&mut book, key, 1, handle("late"));
    assert_eq!(late.as_deref(), Some("late"));
}

#[test]
fn a_failure_counts_only_where_no_other_copy_is_left() {
    let (mut book, key, replied) = book(1);
    let piece = PieceKey {
        batch: key,
        place: 0,
    };
    book.add_copy(piece);
    assert_eq!(book.copies_of(piece), Some(2));
    end(&mut book, key, 0, Err(PieceFault::Failed));
    assert!(replied.borrow().is_empty());
    assert_eq!(book.copies_of(piece), Some(1));
    end(&mut book, key, 0, Err(PieceFault::OutOfMemory));
    assert_eq!(*replied.borrow(), [[Err(PieceFault::OutOfMemory)]]);
    assert_eq!(book.copies_of(piece), None);
}

#[test]
fn results_of_a_batch_that_was_given_up_are_released() {
    let (mut book, key, replied) = book(1);
    book.cancel(key);
    let result = end(&mut book, key, 0, handle("a"));
    assert_eq!(result.as_deref(), Some("a"));
    assert!(replied.borrow().is_empty());
}
