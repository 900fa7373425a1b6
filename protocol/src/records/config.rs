//! Wire type of the `config` stream.

use limpetweir_state::{
    PublicationId,
    Publish,
    Version, //
};
use serde::{
    Deserialize,
    Serialize, //
};

use super::StreamRecord;

#[derive(Serialize, Deserialize)]
#[doc(hidden)]
pub enum WireConfig {
    Publish {
        id: PublicationId,
        base: Version,
        document: String,
    },
}

impl StreamRecord for Publish {
    type Wire = WireConfig;
}

impl From<Publish> for WireConfig {
    fn from(record: Publish) -> Self {
        let Publish { id, base, document } = record;
        Self::Publish { id, base, document }
    }
}

impl TryFrom<WireConfig> for Publish {
    type Error = String;

    fn try_from(wire: WireConfig) -> Result<Self, String> {
        let WireConfig::Publish { id, base, document } = wire;
        Ok(Self { id, base, document })
    }
}
