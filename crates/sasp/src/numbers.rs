//! Every number of the protocol, in one table. `docs/sasp.md` tells how certain each is.

/// Port that the RFC registers.
pub const PORT: u16 = 3860;
pub const VERSION: u8 = 1;

// Components: type (16 bits) and length (16 bits, these four bytes included).
pub const HEADER: u16 = 0x2010;
pub const REGISTRATION_REQUEST: u16 = 0x1010;
pub const REGISTRATION_REPLY: u16 = 0x1015;
pub const DEREGISTRATION_REQUEST: u16 = 0x1020;
pub const DEREGISTRATION_REPLY: u16 = 0x1025;
pub const GET_WEIGHTS_REQUEST: u16 = 0x1030;
pub const GET_WEIGHTS_REPLY: u16 = 0x1035;
pub const SEND_WEIGHTS: u16 = 0x1040;
pub const SET_LB_STATE_REQUEST: u16 = 0x1050;
pub const SET_LB_STATE_REPLY: u16 = 0x1055;
pub const SET_MEMBER_STATE_REQUEST: u16 = 0x1060;
pub const SET_MEMBER_STATE_REPLY: u16 = 0x1065;
pub const MEMBER_DATA: u16 = 0x3010;
pub const GROUP_DATA: u16 = 0x3011;
pub const WEIGHT_ENTRY_DATA: u16 = 0x3012;
pub const MEMBER_STATE_INSTANCE: u16 = 0x3013;
pub const GROUP_OF_MEMBER_DATA: u16 = 0x4010;
pub const GROUP_OF_WEIGHT_ENTRY_DATA: u16 = 0x4011;
pub const GROUP_OF_MEMBER_STATE_DATA: u16 = 0x4012;

/// Bytes of the header: type, length, version, message length (32 bits), message id (32 bits).
pub const HEADER_BYTES: usize = 13;
/// Type and length of a component.
pub const COMPONENT_BYTES: usize = 4;

/// Who speaks: set by a balancer, clear where a member speaks for itself.
pub const FLAG_FROM_BALANCER: u8 = 0x01;

// Set Load Balancer State.
pub const LB_PUSH: u8 = 0x01;
pub const LB_TRUST: u8 = 0x02;
pub const LB_NO_CHANGE: u8 = 0x04;

// Weight entries and member states.
pub const CONTACT_SUCCESS: u8 = 0x01;
pub const QUIESCE: u8 = 0x02;
pub const REGISTERED_BY_BALANCER: u8 = 0x04;
pub const CONFIDENT: u8 = 0x08;

// Return codes.
pub const SUCCESSFUL: u8 = 0x00;
pub const NOT_UNDERSTOOD: u8 = 0x10;
pub const WILL_NOT_ACCEPT: u8 = 0x11;
pub const ALREADY_REGISTERED: u8 = 0x40;
pub const NOT_REGISTERED: u8 = 0x41;
pub const DUPLICATE_MEMBER: u8 = 0x42;
pub const INVALID_GROUP: u8 = 0x43;
pub const INVALID_GROUP_NAME_SIZE: u8 = 0x44;
pub const INVALID_UID_SIZE: u8 = 0x45;
pub const MEMBER_REGISTERS_ITSELF: u8 = 0x50;
pub const NO_GROUP_YET: u8 = 0x51;
pub const TRY_LATER: u8 = 0x61;
