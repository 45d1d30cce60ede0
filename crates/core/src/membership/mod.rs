//! Replicates settings, daemon membership and host states between daemons by anti-entropy gossip.

mod config;
mod event;
mod freshness;
mod host_table;
mod lapsed_zones;
mod log_tail;
mod member_table;
mod message;
mod peer_info;
mod peer_picks;
mod settings_state;
mod slots;
mod spread;
mod spread_service;
mod spread_sync;
mod view;

pub use self::{
    config::SpreadConfig,
    event::{Action, CampaignOutcome, Event, MemberRead, ServiceDown, SettingsRead},
    freshness::Freshness,
    host_table::{HostNews, HostTable},
    log_tail::LogTail,
    member_table::{MemberTable, MembersNews},
    message::{MessageError, News, Page, Probe, WatcherNews, decode, encode},
    peer_info::PeerInfo,
    slots::{SLOTS, Slots},
    spread::{Spread, SpreadStatus},
    view::View,
};
