//! What gathering and placing cost a host, by the number of hosts that use it.

mod fleet;
mod role_cost;
