//! HTTP, WebSocket, log and list connections on async-io.
