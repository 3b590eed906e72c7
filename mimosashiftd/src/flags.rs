//! Reads the daemon's flags by the table of settings.

use std::ffi::OsString;

use mimosashift::settings::Raw;
use xflags::rt::Parser;

/// What the command line asks for.
pub(crate) enum Command {
    /// Print the help text.
    Help,
    /// Run with these settings.
    Run(Raw),
}

/// Reads the arguments after the program's name.
///
/// A flag's value follows as the next argument or after `=`.
pub(crate) fn parse(args: Vec<OsString>) -> xflags::Result<Command> {
    let mut raw = Raw::default();
    let mut parser = Parser::new(args);
    while let Some(arg) = parser.pop_flag() {
        let arg = arg.map_err(|arg| parser.unexpected_arg(arg))?;
        if arg == "--help" || arg == "-h" {
            return Ok(Command::Help);
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
    Ok(Command::Run(raw))
}
