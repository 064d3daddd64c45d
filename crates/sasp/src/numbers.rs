//! All numbers of the protocol. `docs/sasp.md` says how certain each is.

/// TCP port registered for the protocol.
pub const PORT: u16 = 3860;
/// Version of the protocol.
pub const VERSION: u8 = 1;

// Types of components. A component begins with its type (16 bits) and its length (16 bits, these four bytes included).
/// Component type of SASP Header.
pub const HEADER: u16 = 0x2010;
/// Component type of Registration Request.
pub const REGISTRATION_REQUEST: u16 = 0x1010;
/// Component type of Registration Reply.
pub const REGISTRATION_REPLY: u16 = 0x1015;
/// Component type of Deregistration Request.
pub const DEREGISTRATION_REQUEST: u16 = 0x1020;
/// Component type of Deregistration Reply.
pub const DEREGISTRATION_REPLY: u16 = 0x1025;
/// Component type of Get Weights Request.
pub const GET_WEIGHTS_REQUEST: u16 = 0x1030;
/// Component type of Get Weights Reply.
pub const GET_WEIGHTS_REPLY: u16 = 0x1035;
/// Component type of Send Weights.
pub const SEND_WEIGHTS: u16 = 0x1040;
/// Component type of Set Load Balancer State Request.
pub const SET_LB_STATE_REQUEST: u16 = 0x1050;
/// Component type of Set Load Balancer State Reply.
pub const SET_LB_STATE_REPLY: u16 = 0x1055;
/// Component type of Set Member State Request.
pub const SET_MEMBER_STATE_REQUEST: u16 = 0x1060;
/// Component type of Set Member State Reply.
pub const SET_MEMBER_STATE_REPLY: u16 = 0x1065;
/// Component type of Member Data.
pub const MEMBER_DATA: u16 = 0x3010;
/// Component type of Group Data.
pub const GROUP_DATA: u16 = 0x3011;
/// Component type of Weight Entry Data.
pub const WEIGHT_ENTRY_DATA: u16 = 0x3012;
/// Component type of Member State Instance.
pub const MEMBER_STATE_INSTANCE: u16 = 0x3013;
/// Component type of Group of Member Data.
pub const GROUP_OF_MEMBER_DATA: u16 = 0x4010;
/// Component type of Group of Weight Entry Data.
pub const GROUP_OF_WEIGHT_ENTRY_DATA: u16 = 0x4011;
/// Component type of Group of Member State Data.
pub const GROUP_OF_MEMBER_STATE_DATA: u16 = 0x4012;

/// Bytes of the header: type, length, version, message length (32 bits), message id (32 bits).
pub const HEADER_BYTES: usize = 13;
/// Bytes of a component's type and length.
pub const COMPONENT_BYTES: usize = 4;

/// Flag of requests: set if a load balancer is the sender, clear if a member sends the request for itself.
pub const FLAG_FROM_BALANCER: u8 = 0x01;

// Flags of Set Load Balancer State.
/// Push weights: send them without a request.
pub const LB_PUSH: u8 = 0x01;
/// Trust members: they may register themselves.
pub const LB_TRUST: u8 = 0x02;
/// Push only the members that have changed.
pub const LB_NO_CHANGE: u8 = 0x04;

// Flags of weight entries and member states.
/// The load balancer reaches the member.
pub const CONTACT_SUCCESS: u8 = 0x01;
/// The member is to receive no new work.
pub const QUIESCE: u8 = 0x02;
/// The load balancer registered the member; clear if the member registered itself.
pub const REGISTERED_BY_BALANCER: u8 = 0x04;
/// The weight is meaningful, since the workload manager knows the member.
pub const CONFIDENT: u8 = 0x08;

// Return codes.
/// Number of [`ReturnCode::Successful`](crate::ReturnCode::Successful).
pub const SUCCESSFUL: u8 = 0x00;
/// Number of [`ReturnCode::NotUnderstood`](crate::ReturnCode::NotUnderstood).
pub const NOT_UNDERSTOOD: u8 = 0x10;
/// Number of [`ReturnCode::WillNotAccept`](crate::ReturnCode::WillNotAccept).
pub const WILL_NOT_ACCEPT: u8 = 0x11;
/// Number of [`ReturnCode::AlreadyRegistered`](crate::ReturnCode::AlreadyRegistered).
pub const ALREADY_REGISTERED: u8 = 0x40;
/// Number of [`ReturnCode::NotRegistered`](crate::ReturnCode::NotRegistered).
pub const NOT_REGISTERED: u8 = 0x41;
/// Number of [`ReturnCode::DuplicateMember`](crate::ReturnCode::DuplicateMember).
pub const DUPLICATE_MEMBER: u8 = 0x42;
/// Number of [`ReturnCode::InvalidGroup`](crate::ReturnCode::InvalidGroup).
pub const INVALID_GROUP: u8 = 0x43;
/// Number of [`ReturnCode::InvalidGroupNameSize`](crate::ReturnCode::InvalidGroupNameSize).
pub const INVALID_GROUP_NAME_SIZE: u8 = 0x44;
/// Number of [`ReturnCode::InvalidUidSize`](crate::ReturnCode::InvalidUidSize).
pub const INVALID_UID_SIZE: u8 = 0x45;
/// Number of [`ReturnCode::MemberRegistersItself`](crate::ReturnCode::MemberRegistersItself).
pub const MEMBER_REGISTERS_ITSELF: u8 = 0x50;
/// Number of [`ReturnCode::NoGroupYet`](crate::ReturnCode::NoGroupYet).
pub const NO_GROUP_YET: u8 = 0x51;
/// Number of [`ReturnCode::TryLater`](crate::ReturnCode::TryLater).
pub const TRY_LATER: u8 = 0x61;
