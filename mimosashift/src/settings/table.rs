//! Declarations of all settings, from which the flags, environment variables,
//! help text and documentation are generated.

use std::fmt::Write;

/// Prefix of the environment variables.
const ENV_PREFIX: &str = "MIMOSASHIFT_";

/// One setting of the daemon.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Setting {
    /// Flag name, without the leading dashes.
    pub flag: &'static str,
    /// Value when neither the flag nor the variable is given; `None` if required.
    pub default: Option<&'static str>,
    /// Allowed values, with the unit.
    pub rule: &'static str,
    /// Purpose.
    pub help: &'static str,
    /// Whether messages must omit the value.
    pub secret: bool,
}

/// Declares the settings, each with field, flag, default, secrecy, rule and help.
macro_rules! settings {
    ($($field:ident $flag:literal $default:expr, $secret:literal, $rule:literal, $help:literal;)*) => {
        /// Every setting, in the order of the documentation.
        pub const SETTINGS: &[Setting] = &[$(Setting {
            flag: $flag,
            default: $default,
            rule: $rule,
            help: $help,
            secret: $secret,
        },)*];

        /// The text of each setting as given, before validation.
        #[derive(Clone, Default)]
        pub struct Raw {
            $(#[doc = $help] pub $field: Option<String>,)*
        }

        impl Raw {
            /// Sets the value of a flag and returns the previous one; returns
            /// `value` as the error if there is no such flag.
            pub fn set(&mut self, flag: &str, value: String) -> Result<Option<String>, String> {
                match flag {
                    $($flag => Ok(self.$field.replace(value)),)*
                    _ => Err(value),
                }
            }

            /// Sets each setting that has no value yet from its environment variable.
            pub fn fill_from_env(mut self, env: impl Fn(&str) -> Option<String>) -> Self {
                $(if self.$field.is_none() {
                    self.$field = env(&env_name($flag));
                })*
                self
            }
        }
    };
}

settings! {
    node "node" None, false, "a resource name, unique among routers", "Name of this router.";
    domain "domain" None, false, "a resource name", "Failure domain of this router.";
    region "region" None, false, "a resource name", "Region of this router.";
    listen "listen" Some("0.0.0.0:8080"), false, "an IP address and port", "Address for callers.";
    operator_listen "operator-listen" Some("127.0.0.1:8081"), false, "an IP address and port", "Address for operators, health checks and metrics.";
    peer_address "peer-address" Some("127.0.0.1:8082"), false, "an IP address and port that peers can reach", "Address for peers, UDP and TCP.";
    peers "peers" Some(""), false, "IP addresses and ports, separated by commas", "Peers to greet first.";
    peer_keys "peer-keys" Some(""), true, "id:key pairs separated by commas, each id 0 to 255 and used once, each key 64 hexadecimal digits; at least one with --peers", "Keys that authenticate peers, the current one first.";
    cross_domain_latency_us "cross-domain-latency-us" Some("500"), false, "0 to 1000000 microseconds", "One-way latency to another failure domain.";
    platform_url "platform-url" None, false, "an http:// URL", "Base URL of the platform's services.";
    bootstrap_token_digest "bootstrap-token-digest" Some(""), true, "empty or 64 hexadecimal digits", "SHA-256 digest of an operator token that is valid before any team exists.";
    log_form "log-form" Some("terminal"), false, "terminal or json", "Form of log lines.";
    log_level "log-level" Some("info"), false, "critical, error, warning, info, debug or trace", "Least severe level that is logged.";
    drain_ms "drain-ms" Some("120000"), false, "1 to 3600000 milliseconds", "Longest time to finish accepted requests at shutdown.";
    max_concurrent "max-concurrent" Some("4096"), false, "1 to 1000000 requests", "Most requests in progress.";
    max_body_bytes "max-body-bytes" Some("1048576"), false, "1 to 1073741824 bytes", "Largest request body.";
    queue_bytes "queue-bytes" Some("8388608"), false, "1 to 1073741824 bytes, at least --max-body-bytes", "Most bytes of queued requests.";
}

impl Setting {
    /// Name of the setting's environment variable.
    pub fn env(&self) -> String {
        env_name(self.flag)
    }

    /// Finds the setting with the given flag name.
    pub fn find(flag: &str) -> Option<&'static Self> {
        SETTINGS.iter().find(|setting| setting.flag == flag)
    }

    /// The settings as `--help` prints them.
    pub fn help_text() -> String {
        let mut text = String::from("Settings, each by flag or environment variable:\n");
        for setting in SETTINGS {
            let default = setting.default.map_or("required".into(), |d| format!("default {d:?}"));
            let (flag, env, help, rule) = (setting.flag, setting.env(), setting.help, setting.rule);
            write!(
                text,
                "\n  --{flag} <VALUE>  [{env}]\n      {help} Must be {rule}; {default}.\n"
            )
            .expect("writing to a String cannot fail");
        }
        text
    }

    /// The settings as a Markdown table for `docs/SETTINGS.md`.
    pub fn markdown() -> String {
        let mut text = String::from(
            "| Flag | Variable | Default | Allowed | Purpose |\n| --- | --- | --- | --- | --- |\n",
        );
        for setting in SETTINGS {
            let default = match setting.default {
                None => "required".to_owned(),
                Some("") => "empty".to_owned(),
                Some(value) => format!("`{value}`"),
            };
            let (flag, env, help, rule) = (setting.flag, setting.env(), setting.help, setting.rule);
            writeln!(text, "| `--{flag}` | `{env}` | {default} | {rule} | {help} |")
                .expect("writing to a String cannot fail");
        }
        text
    }
}

/// Name of the environment variable for a flag.
pub(super) fn env_name(flag: &str) -> String {
    format!("{ENV_PREFIX}{}", flag.replace('-', "_").to_ascii_uppercase())
}
