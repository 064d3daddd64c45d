//! Codes of the records in the simulator's protocol. A record consists of its code, the number of the
//! instance, and its fields.

/// Codes of the records in a batch, which the simulator sends.
pub(crate) mod incoming {
    pub(crate) const TIMER_FIRED: u8 = 1;
    pub(crate) const DEMAND_REPORT: u8 = 2;
    pub(crate) const PEER_MESSAGE: u8 = 3;
    pub(crate) const HEALTH_CHECKED: u8 = 4;
    pub(crate) const LEASE_CHANGED: u8 = 5;
    pub(crate) const ENDPOINT_REPORT: u8 = 6;
    /// The simulator calls it `enlist`.
    pub(crate) const START: u8 = 7;
    pub(crate) const LEFT: u8 = 8;
    pub(crate) const JOINED: u8 = 9;
    pub(crate) const RECORDED_WEIGHT: u8 = 10;
    /// The simulator calls it `kill`.
    pub(crate) const STOP: u8 = 11;
    /// The simulator calls it `roster`.
    pub(crate) const ENDPOINTS: u8 = 12;
    pub(crate) const TABLE_DEMAND: u8 = 13;
    pub(crate) const ACKNOWLEDGED: u8 = 14;

    /// Whether this is the code of a record that the simulator can send.
    pub(crate) fn is_known(code: u8) -> bool {
        (TIMER_FIRED..=ACKNOWLEDGED).contains(&code)
    }
}

/// Codes of the records in a reply, which the simulator receives.
pub(crate) mod outgoing {
    pub(crate) const SET_TIMER: u8 = 65;
    pub(crate) const CHECK_HEALTH: u8 = 66;
    pub(crate) const SEND_TO_PEER: u8 = 67;
    pub(crate) const LOG: u8 = 68;
    /// The simulator calls it `bug`.
    pub(crate) const FAILURE: u8 = 69;
    pub(crate) const WATCH_ENDPOINTS: u8 = 70;
    pub(crate) const FETCH_ENDPOINTS: u8 = 71;
    pub(crate) const SET_WEIGHT: u8 = 72;
    pub(crate) const CLEAR_TABLE: u8 = 73;
    pub(crate) const EXCLUDE: u8 = 74;
    pub(crate) const ASSIGN_TABLE: u8 = 75;
    pub(crate) const LIMIT_ADMISSION: u8 = 76;
    pub(crate) const REQUEST_ACK: u8 = 77;
}
