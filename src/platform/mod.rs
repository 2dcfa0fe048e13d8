//! Translation between the platform's protocol and the product.
//!
//! Only this folder knows the platform's names. Each file decodes one kind of message into the
//! product's types:
//!
//! | File | Translates |
//! | --- | --- |
//! | `header` | names of header fields |
//! | `ingress` | what callers send and what they are told |
//! | `egress` | what upstreams are sent and what they answer |
//! | `store` | the log's calls and the framing of its records |
//! | `config` | the operator's configuration |
//! | `registry` | the entries of upstreams |

pub mod config;
pub mod egress;
pub mod header;
pub mod ingress;
pub mod registry;
pub mod store;
