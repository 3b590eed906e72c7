//! Parses the daemon's command line; the flags come from the table of settings.

use std::ffi::OsString;

use mimosashift::settings::Raw;
use xflags::rt::Parser;

/// The action that the command line requests.
pub enum Command {
    /// Print the help text.
    Help,
    /// Validate these settings and exit.
    Check(Box<Raw>),
    /// Run with these settings.
    Run(Box<Raw>),
}

/// Parses the arguments, without the program name.
///
/// A flag's value is the next argument or the text after `=`.
pub fn parse(args: Vec<OsString>) -> xflags::Result<Command> {
    let mut raw = Box::<Raw>::default();
    let mut check = false;
    let mut parser = Parser::new(args);
    while let Some(arg) = parser.pop_flag() {
        let arg = arg.map_err(|arg| parser.unexpected_arg(arg))?;
        match arg.as_str() {
            "--help" | "-h" => return Ok(Command::Help),
            "--check" => {
                check = true;
                continue;
            }
            _ => {}
        }
        let (flag, value) = match arg.split_once('=') {
            Some((flag, value)) => (flag.to_owned(), value.to_owned()),
            None => {
                let value = parser.next_value_from_str(&arg)?;
                (arg, value)
            }
        };
        let name = flag.strip_prefix("--").unwrap_or_default();
        let previous = raw.set(name, value).map_err(|_| parser.unexpected_flag(&flag))?;
        if previous.is_some() {
            return Err(xflags::Error::new(format!("flag specified more than once: `{flag}`")));
        }
    }
    Ok(if check { Command::Check(raw) } else { Command::Run(raw) })
}
