//! Replicates settings, daemon membership and host states between daemons by anti-entropy gossip.
//!
//! Each availability zone has [`SLOTS`] watcher slots. The daemons that hold them, the watchers,
//! read and watch the key-value service; other daemons read it only if peers do not keep their view
//! current.

mod config;
mod event;
mod freshness;
mod gossip;
mod gossip_service;
mod gossip_sync;
mod host_table;
mod lapsed_zones;
mod log_tail;
mod member_table;
mod message;
mod peer_info;
mod peer_selector;
mod settings_state;
mod slots;
mod view;

pub use self::{
    config::GossipConfig,
    event::{Action, CampaignOutcome, Event, MemberRead, ServiceUnavailable, SettingsRead},
    freshness::Freshness,
    gossip::{Gossip, GossipStatus},
    host_table::{HostRecord, HostTable},
    log_tail::LogTail,
    member_table::{MemberTable, MembersDelta},
    message::{MessageError, Page, SlotHolder, SyncDelta, SyncDigest, decode, encode},
    peer_info::PeerInfo,
    slots::{SLOTS, Slots},
    view::View,
};
