//! Answers calls of the job interface at the owner of a job group.

use std::sync::Arc;

use limpetweir_protocol::peer::{
    JobCall,
    JobReply, //
};

use super::reply;
use crate::node::Node;

/// Answers a call of the job interface for a group that this instance owns.
pub(crate) async fn answer_job(_node: &Arc<Node>, _call: JobCall) -> JobReply {
    reply::no_owner()
}
