//! Every number of the protocol, in one table. `docs/sasp.md` tells how certain each is.

/// Port that the RFC registers.
pub const PORT: u16 = 3860;
/// Version of the protocol.
pub const VERSION: u8 = 1;

// Types of components. A component is type (16 bits), length (16 bits, type and length included) and fields.
/// Type of component "header".
pub const HEADER: u16 = 0x2010;
/// Type of component "registration request".
pub const REGISTRATION_REQUEST: u16 = 0x1010;
/// Type of component "registration reply".
pub const REGISTRATION_REPLY: u16 = 0x1015;
/// Type of component "deregistration request".
pub const DEREGISTRATION_REQUEST: u16 = 0x1020;
/// Type of component "deregistration reply".
pub const DEREGISTRATION_REPLY: u16 = 0x1025;
/// Type of component "get weights request".
pub const GET_WEIGHTS_REQUEST: u16 = 0x1030;
/// Type of component "get weights reply".
pub const GET_WEIGHTS_REPLY: u16 = 0x1035;
/// Type of component "send weights".
pub const SEND_WEIGHTS: u16 = 0x1040;
/// Type of component "set load balancer state request".
pub const SET_LB_STATE_REQUEST: u16 = 0x1050;
/// Type of component "set load balancer state reply".
pub const SET_LB_STATE_REPLY: u16 = 0x1055;
/// Type of component "set member state request".
pub const SET_MEMBER_STATE_REQUEST: u16 = 0x1060;
/// Type of component "set member state reply".
pub const SET_MEMBER_STATE_REPLY: u16 = 0x1065;
/// Type of component "member data".
pub const MEMBER_DATA: u16 = 0x3010;
/// Type of component "group data".
pub const GROUP_DATA: u16 = 0x3011;
/// Type of component "weight entry data".
pub const WEIGHT_ENTRY_DATA: u16 = 0x3012;
/// Type of component "member state instance".
pub const MEMBER_STATE_INSTANCE: u16 = 0x3013;
/// Type of component "group of member data".
pub const GROUP_OF_MEMBER_DATA: u16 = 0x4010;
/// Type of component "group of weight entry data".
pub const GROUP_OF_WEIGHT_ENTRY_DATA: u16 = 0x4011;
/// Type of component "group of member state data".
pub const GROUP_OF_MEMBER_STATE_DATA: u16 = 0x4012;

/// Bytes of the header: type, length, version, message length (32 bits), message id (32 bits).
pub const HEADER_BYTES: usize = 13;
/// Bytes of a component's type and length.
pub const COMPONENT_BYTES: usize = 4;

/// Flag "from balancer": clear where a member speaks for itself.
pub const FLAG_FROM_BALANCER: u8 = 0x01;

// Set Load Balancer State.
/// Flag "push".
pub const LB_PUSH: u8 = 0x01;
/// Flag "trust".
pub const LB_TRUST: u8 = 0x02;
/// Flag "no change".
pub const LB_NO_CHANGE: u8 = 0x04;

// Weight entries and member states.
/// Flag "contact success".
pub const CONTACT_SUCCESS: u8 = 0x01;
/// Flag "quiesce".
pub const QUIESCE: u8 = 0x02;
/// Flag "registered by balancer".
pub const REGISTERED_BY_BALANCER: u8 = 0x04;
/// Flag "confident".
pub const CONFIDENT: u8 = 0x08;

// Return codes.
/// Return code "successful".
pub const SUCCESSFUL: u8 = 0x00;
/// Return code "not understood".
pub const NOT_UNDERSTOOD: u8 = 0x10;
/// Return code "will not accept".
pub const WILL_NOT_ACCEPT: u8 = 0x11;
/// Return code "already registered".
pub const ALREADY_REGISTERED: u8 = 0x40;
/// Return code "not registered".
pub const NOT_REGISTERED: u8 = 0x41;
/// Return code "duplicate member".
pub const DUPLICATE_MEMBER: u8 = 0x42;
/// Return code "invalid group".
pub const INVALID_GROUP: u8 = 0x43;
/// Return code "invalid group name size".
pub const INVALID_GROUP_NAME_SIZE: u8 = 0x44;
/// Return code "invalid uid size".
pub const INVALID_UID_SIZE: u8 = 0x45;
/// Return code "member registers itself".
pub const MEMBER_REGISTERS_ITSELF: u8 = 0x50;
/// Return code "no group yet".
pub const NO_GROUP_YET: u8 = 0x51;
/// Return code "try later".
pub const TRY_LATER: u8 = 0x61;
