/// Size of a deployment: zones, replicas and stores of one organisation.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Site {
    /// Region.
    pub region: &'static str,
    /// Availability zones.
    pub zones: &'static [&'static str],
    /// Model that its prompts use.
    pub model: &'static str,
    /// Replicas of the model.
    pub replicas: usize,
    /// Plain service that its orders go to.
    pub service: &'static str,
    /// Replicas of the plain service.
    pub service_replicas: usize,
    /// Store hosts for kept cache.
    pub stores: usize,
    /// Entries.
    pub entries: usize,
    /// Weight loads at once that do not slow each other.
    pub load_slots: usize,
}

/// Chiclayo's size of today.
pub const CHICLAYO: Site = Site {
    region: "lambayeque",
    zones: &["lambayeque-a", "lambayeque-b", "lambayeque-c"],
    model: "order-text",
    replicas: 20,
    service: "warehouse",
    service_replicas: 3,
    stores: 2,
    entries: 3,
    load_slots: 3,
};

/// Hangang's size of today.
pub const HANGANG: Site = Site {
    region: "yeongnam",
    zones: &["yeongnam-a", "yeongnam-b", "yeongnam-c", "yeongnam-d"],
    model: "advice",
    replicas: 12,
    service: "order-desk",
    service_replicas: 4,
    stores: 2,
    entries: 4,
    load_slots: 2,
};
