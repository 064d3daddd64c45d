//! Compatibility of stored files: a file of an earlier version is read, and written back byte for byte.

use shalereel_xds_supervisor::EndpointList;

/// Guards against a renamed field that changes the stored format, which the compiler does not report.
#[test]
fn last_list_of_an_earlier_version_is_read() {
    let file = include_bytes!("stored/last-list.json");
    let localities = ["hal-a".to_owned(), "hal-b".to_owned(), "hal-c".to_owned()];
    let mut endpoints = EndpointList::new(&localities);
    let event = endpoints.load(u64::MAX, file).unwrap();
    assert_eq!(String::from_utf8(endpoints.to_json()).unwrap(), String::from_utf8(file.to_vec()).unwrap());
    assert_eq!(format!("{event:?}").matches("server: ").count(), 20);
}
