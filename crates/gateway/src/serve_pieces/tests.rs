//! Measures the cost of the roles of coordinator and placer by the number of hosts that use them.

mod fleet;
mod role_cost;
