use super::{ChildProcess, FleetError, FleetSpec, Programs};
use serde_json::json;
use std::net::SocketAddr;

/// Engines and plain services that run without daemons, for the baselines.
#[derive(Debug)]
pub struct BaselineFleet {
    /// Availability zone and listen address of each engine.
    pub engines: Vec<(String, SocketAddr)>,
    /// Listen address of each plain service.
    pub services: Vec<SocketAddr>,
    _children: Vec<ChildProcess>,
    _programs: Programs,
}

impl BaselineFleet {
    /// Starts only the engines and plain services of a deployment.
    ///
    /// # Errors
    /// A stand-in cannot be started.
    pub fn start(spec: &FleetSpec) -> Result<Self, FleetError> {
        let programs = Programs::new(spec.programs.clone())?;
        let mut children = Vec::new();
        let mut engines = Vec::new();
        for (index, engine) in spec.engines.iter().enumerate() {
            let name = format!("engine-{index}");
            let child = programs.start_standin("engine", &name, &engine.config)?;
            engines.push((spec.zone(index).to_owned(), child.address("listening")?));
            children.push(child);
        }
        let mut services = Vec::new();
        for index in 0..spec.services.len() {
            let name = format!("service-{index}");
            let child = programs.start_standin("service", &name, &json!({}))?;
            services.push(child.address("listening")?);
            children.push(child);
        }
        Ok(Self { engines, services, _children: children, _programs: programs })
    }
}
