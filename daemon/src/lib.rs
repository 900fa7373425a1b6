//! The limpetweir daemon: wires transport, protocol, coordination and state.
