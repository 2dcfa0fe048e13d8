//! Tests of the gateway as a process, against stand-ins for the platform's store and upstreams.

mod accounts;
mod balance;
mod belief;
mod builds;
mod capacity;
mod capacity_site;
mod deadly;
mod deadly_blocks;
mod early;
mod endless;
mod explain;
mod field_reports;
mod generators;
mod heads;
mod innocent;
mod input;
mod large_config;
mod late_entries;
mod leaving;
mod lifecycle;
mod limit;
mod memory;
mod model;
mod notice;
mod odd_entries;
mod paces;
mod plain;
mod refusals;
mod restarted;
mod restored;
mod shutdown;
mod usage;

mod deployment;
mod site;
