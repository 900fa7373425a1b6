//! Routing: CPU time of one decision by the number of candidate backend servers.

use limpetweir_coordination::{
    Candidate,
    ListState,
    RouteRequest,
    route, //
};
use limpetweir_state::{
    Backend,
    BackendId,
    ServiceId,
    ZoneId, //
};
use rand::SeedableRng;
use rand::rngs::SmallRng;

use crate::report::{
    line,
    micros, //
};

/// Engines: a small service today, one region of the target size, and the whole target fleet.
const ENGINES: [u16; 3] = [12, 312, 2_500];

fn backend(index: u16) -> Backend {
    Backend {
        id: BackendId::try_from(format!("engine-{index}")).expect("valid name"),
        service: ServiceId::try_from("assistant").expect("valid name"),
        zone: ZoneId::try_from(format!("zone-{}", index % 4)).expect("valid name"),
        address: ([127, 0, 0, 1], 9_000).into(),
        slots: 16,
        checks_fencing: true,
    }
}

pub(crate) fn measure() {
    let zone = ZoneId::try_from("zone-1").expect("valid name");
    let prompt = [b'p'; 256];
    let request = RouteRequest {
        prompt: &prompt,
        zone: &zone,
    };
    let points = ENGINES.map(|count| {
        let backends: Vec<_> = (0..count).map(backend).collect();
        let candidates: Vec<_> = backends
            .iter()
            .map(|backend| Candidate {
                backend,
                listed: Some(ListState::Live),
                in_cooldown: false,
                tried: false,
                own: 1,
                peers: u32::from(count % 7),
            })
            .collect();
        let mut rng = SmallRng::seed_from_u64(1);
        let value = micros(200, || route(&candidates, &request, &mut rng));
        (u64::from(count), value)
    });
    line("routing decision, us", "candidate engines", points);
}
