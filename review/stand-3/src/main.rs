//! Stand-ins and scenarios for the scripts of review 3. Each scenario starts the project's router
//! as a process, and exits with 0 if the rule held, 1 if it was broken, and 2 if it could not run.

mod drill;
mod engine;
mod http;
mod models;
mod store;
mod world;

fn main() {
    let arguments: Vec<String> = std::env::args().skip(1).collect();
    let words: Vec<&str> = arguments.iter().map(String::as_str).collect();
    let code = match words[..] {
        ["models"] => models::run(),
        ["drill"] => drill::run(),
        _ => {
            eprintln!("usage: stand-3 SCENARIO");
            2
        }
    };
    std::process::exit(code);
}
