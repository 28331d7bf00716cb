//! Prints the reference page of all settings, `docs/SETTINGS.md`.

fn main() {
    print!("{}", rosebend_state::settings::reference_page());
}
