//! Stand-ins for the platform services and backend servers.
