/// Size of the deployment of one organisation: zones, replicas and stores.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Site {
    /// Name of the region.
    pub region: &'static str,
    /// Names of the availability zones.
    pub zones: &'static [&'static str],
    /// Name of the model that prompts are sent to.
    pub model: &'static str,
    /// Number of model replicas.
    pub replicas: usize,
    /// Name of the plain service that orders are sent to.
    pub service: &'static str,
    /// Number of plain service replicas.
    pub service_replicas: usize,
    /// Number of store hosts for saved cache.
    pub stores: usize,
    /// Number of entries.
    pub entries: usize,
    /// Number of concurrent weight loads that do not slow each other down.
    pub load_slots: usize,
}

/// Current size of the Chiclayo deployment.
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

/// Current size of the Hangang deployment.
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
