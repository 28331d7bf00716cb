//! Prints the reference page of all events, `docs/EVENTS.md`.

fn main() {
    print!("{}", rosebend_transport::event::events_page());
}
