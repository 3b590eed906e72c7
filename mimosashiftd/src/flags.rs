//! Reads the daemon's flags by the table of settings.

use std::ffi::OsString;

use mimosashift::settings::Raw;
use xflags::rt::Parser;

/// What the command line asks for.
pub enum Command {
    /// Print the help text.
    Help,
    /// Check these settings and exit.
    Check(Box<Raw>),
    /// Run with these settings.
    Run(Box<Raw>),
}

/// Reads the arguments after the program's name.
///
/// A flag's value follows as the next argument or after `=`.
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
        let before = raw.set(name, value).map_err(|_| parser.unexpected_flag(&flag))?;
        if before.is_some() {
            return Err(xflags::Error::new(format!("flag specified more than once: `{flag}`")));
        }
    }
    Ok(if check { Command::Check(raw) } else { Command::Run(raw) })
}
