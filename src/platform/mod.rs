//! Translation between the platform's protocol and the types of this crate.
//!
//! Only this folder uses the platform's names. Each file decodes one kind of message into the
//! crate's types:
//!
//! | File | Translates |
//! | --- | --- |
//! | `header` | names of header fields |
//! | `ingress` | requests of callers |
//! | `egress` | requests to upstreams and their responses |
//! | `store` | calls to the log and the framing of its records |
//! | `config` | the operator's configuration |
//! | `duties` | calls that one host makes for all |
//! | `registry` | the entries of upstreams |

pub mod config;
pub mod duties;
pub mod egress;
pub mod header;
pub mod ingress;
pub mod registry;
pub mod store;
