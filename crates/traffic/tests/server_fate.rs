//! Judging what became of a server.

use fieldhook_traffic::server_fate::{Contact, EntryState, Evidence, Fate};

/// A server of which nothing is known yet but that its entry is there.
const LISTED: Evidence = Evidence {
    entry: EntryState::Listed,
    reports_start: true,
    was_leaving: false,
    is_discovery_current: true,
    contact: None,
    has_answered: false,
    is_connected: false,
};

#[test]
fn broken_connection_alone_resolves_nothing() {
    for contact in [None, Some(Contact::Silent)] {
        let evidence = Evidence { contact, ..LISTED };
        assert_eq!(evidence.judge().0, Fate::Unresolved, "{contact:?}");
    }
}

/// The next process may listen at the address already, under the same name.
#[test]
fn accepted_connection_shows_nothing_if_names_are_used_again() {
    let connected = Evidence {
        contact: Some(Contact::Established),
        ..LISTED
    };
    assert_eq!(connected.judge().0, Fate::Unresolved);
    let unnamed = Evidence {
        reports_start: false,
        ..connected
    };
    assert_eq!(unnamed.judge().0, Fate::PresumedAlive);
}

#[test]
fn statement_of_the_process_shows_whether_it_is_the_same() {
    let confirmed = Evidence {
        contact: Some(Contact::Confirmed),
        ..LISTED
    };
    assert_eq!(confirmed.judge(), (Fate::Alive, "stated"));
    let other = Evidence {
        contact: Some(Contact::OtherProcess),
        has_answered: true,
        ..LISTED
    };
    assert_eq!(other.judge(), (Fate::Ended, "stated"));
}

#[test]
fn refused_connection_or_later_incarnation_shows_that_a_server_ended() {
    let refused = Evidence {
        contact: Some(Contact::Refused),
        ..LISTED
    };
    assert_eq!(refused.judge(), (Fate::Ended, "refused"));
    let replaced = Evidence {
        entry: EntryState::Replaced,
        contact: Some(Contact::Established),
        ..LISTED
    };
    assert_eq!(replaced.judge(), (Fate::Ended, "entry_replaced"));
}

/// Entries also lapse while the log is away, although their servers live on.
#[test]
fn removed_entry_shows_an_end_only_while_discovery_is_current() {
    let removed = Evidence {
        entry: EntryState::Removed,
        contact: Some(Contact::Silent),
        ..LISTED
    };
    assert_eq!(removed.judge(), (Fate::Ended, "entry_removed"));
    let outdated = Evidence {
        is_discovery_current: false,
        ..removed
    };
    assert_eq!(outdated.judge().0, Fate::Unresolved);
}

/// The entry of a leaving server goes while it still serves, so that shows nothing. That its process
/// ends under a request counts whether that was planned or not.
#[test]
fn server_that_was_leaving_is_judged_like_others_but_for_its_entry() {
    let left = Evidence {
        was_leaving: true,
        entry: EntryState::Removed,
        contact: Some(Contact::Established),
        ..LISTED
    };
    assert_eq!(left.judge().0, Fate::Unresolved);
    for contact in [Contact::Refused, Contact::OtherProcess] {
        let ended = Evidence {
            contact: Some(contact),
            ..left
        };
        assert_eq!(ended.judge().0, Fate::Ended);
    }
    let silent = Evidence {
        contact: Some(Contact::Silent),
        ..left
    };
    assert_eq!(silent.judge().0, Fate::Unresolved);
}

/// An answer shows life at its moment only, so a later sign of an end counts.
#[test]
fn answer_to_a_later_request_shows_that_a_server_lives() {
    let answered = Evidence {
        has_answered: true,
        contact: Some(Contact::Established),
        ..LISTED
    };
    assert_eq!(answered.judge(), (Fate::Alive, "answer"));
    let refused = Evidence {
        contact: Some(Contact::Refused),
        ..answered
    };
    assert_eq!(refused.judge().0, Fate::Ended);
    let replaced = Evidence {
        entry: EntryState::Replaced,
        ..answered
    };
    assert_eq!(replaced.judge().0, Fate::Ended);
}

/// Guards against a machine that lost power and passes as alive: it closes no connection, and the next
/// one may be accepted by a process that does not answer yet.
#[test]
fn open_connection_to_the_process_shows_life_until_a_newer_contact_gets_no_answer() {
    for reports_start in [false, true] {
        let connected = Evidence {
            is_connected: true,
            reports_start,
            ..LISTED
        };
        assert_eq!(connected.judge(), (Fate::Alive, "open_connection"));
        let established = Evidence {
            contact: Some(Contact::Established),
            ..connected
        };
        let fate = match reports_start {
            true => Fate::Unresolved,
            false => Fate::Alive,
        };
        assert_eq!(established.judge().0, fate);
        let silent = Evidence {
            contact: Some(Contact::Silent),
            ..connected
        };
        assert_eq!(silent.judge().0, Fate::Unresolved);
    }
    let connected = Evidence {
        is_connected: true,
        ..LISTED
    };
    let refused = Evidence {
        contact: Some(Contact::Refused),
        ..connected
    };
    assert_eq!(refused.judge().0, Fate::Ended);
}
