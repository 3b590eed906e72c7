//! A service's reply, as it is returned and recorded.

use serde::{Deserialize, Serialize};
use sha2::{Digest as _, Sha256};

/// Largest body that is stored in a record; a larger one is stored as a digest.
pub const MAX_RECORDED_BODY_BYTES: usize = 16 * 1024;

/// An HTTP reply of a service.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Reply {
    /// HTTP status.
    pub status: u16,
    /// Headers that are returned and recorded, in order.
    pub headers: Vec<(String, String)>,
    /// The body.
    pub body: Body,
}

/// The body of a reply.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(try_from = "WireBody", into = "WireBody")]
pub enum Body {
    /// The complete body.
    Whole(Vec<u8>),
    /// SHA-256 of a body that was too large to store.
    Digest([u8; 32]),
}

/// Stored form of [`Body`]; both strings are hexadecimal.
#[derive(Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
enum WireBody {
    Whole(String),
    Digest(String),
}

impl Reply {
    /// The reply as it is recorded, with a large body replaced by its digest.
    pub fn to_record(&self) -> Self {
        let body = match &self.body {
            Body::Whole(bytes) if bytes.len() > MAX_RECORDED_BODY_BYTES => {
                Body::Digest(Sha256::digest(bytes).into())
            }
            body => body.clone(),
        };
        Self { body, ..self.clone() }
    }
}

impl From<Body> for WireBody {
    fn from(body: Body) -> Self {
        match body {
            Body::Whole(bytes) => Self::Whole(hex::encode(bytes)),
            Body::Digest(digest) => Self::Digest(hex::encode(digest)),
        }
    }
}

impl TryFrom<WireBody> for Body {
    type Error = hex::FromHexError;

    fn try_from(wire: WireBody) -> Result<Self, Self::Error> {
        match wire {
            WireBody::Whole(text) => Ok(Self::Whole(hex::decode(text)?)),
            WireBody::Digest(text) => {
                let mut digest = [0; 32];
                hex::decode_to_slice(text, &mut digest)?;
                Ok(Self::Digest(digest))
            }
        }
    }
}
