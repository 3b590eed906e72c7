//! Reads the daemon's flags by the table of settings.

use std::ffi::OsString;

use mimosashift::settings::Raw;
use xflags::rt::Parser;

/// Reads the arguments after the program's name.
///
/// A flag's value follows as the next argument or after `=`. The result is
/// `None` when the help text is asked for.
pub(crate) fn parse(args: Vec<OsString>) -> xflags::Result<Option<Raw>> {
    let mut raw = Raw::default();
    let mut parser = Parser::new(args);
    while let Some(arg) = parser.pop_flag() {
        let arg = arg.map_err(|arg| parser.unexpected_arg(arg))?;
        if arg == "--help" || arg == "-h" {
            return Ok(None);
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
    Ok(Some(raw))
}
