//! A gateway as a real process on the platform's stand-ins, rule by rule.

mod belief;
mod deadly;
mod endless;
mod explain;
mod field_reports;
mod innocent;
mod input;
mod lifecycle;
mod model;
mod notice;
mod plain;

mod deployment;
mod site;
